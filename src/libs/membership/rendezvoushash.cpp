#include "rendezvoushash.h"

#include <foundation/identifier.h>

namespace Membership {

std::uint64_t rendezvousScore(std::string_view key, std::string_view member)
{
    return Foundation::hash64(member, Foundation::hash64(key));
}

} // namespace Membership
