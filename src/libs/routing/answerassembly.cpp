#include "answerassembly.h"

#include <xxhash.h>

namespace Routing {

namespace {

struct StateDeleter {
    void operator()(XXH64_state_t* state) const { XXH64_freeState(state); }
};

} // namespace

struct AnswerAssembly::State {
    std::uint64_t nextSequence = 0;
    std::uint64_t bytes = 0;
    std::unique_ptr<XXH64_state_t, StateDeleter> hash { XXH64_createState() };
};

AnswerAssembly::AnswerAssembly()
    : state(std::make_unique<State>())
{
    XXH64_reset(this->state->hash.get(), 0);
}

AnswerAssembly::~AnswerAssembly() = default;
AnswerAssembly::AnswerAssembly(AnswerAssembly&&) noexcept = default;
AnswerAssembly& AnswerAssembly::operator=(AnswerAssembly&&) noexcept = default;

ChunkVerdict AnswerAssembly::accept(std::uint64_t sequence, std::string_view data)
{
    if (sequence < this->state->nextSequence)
        return ChunkVerdict::Duplicate;
    if (sequence > this->state->nextSequence)
        return ChunkVerdict::Gap;
    ++this->state->nextSequence;
    this->state->bytes += data.size();
    XXH64_update(this->state->hash.get(), data.data(), data.size());
    return ChunkVerdict::Accepted;
}

bool AnswerAssembly::isComplete(std::uint64_t count, std::uint64_t hash) const
{
    return count == this->state->nextSequence && hash == this->hash();
}

std::uint64_t AnswerAssembly::nextSequence() const { return this->state->nextSequence; }

std::uint64_t AnswerAssembly::hash() const { return XXH64_digest(this->state->hash.get()); }

std::uint64_t AnswerAssembly::bytes() const { return this->state->bytes; }

} // namespace Routing
