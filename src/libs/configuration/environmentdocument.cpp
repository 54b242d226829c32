#include "environmentdocument.h"

#include <algorithm>
#include <array>
#include <span>

namespace Configuration {

namespace {

template <typename Definition>
const Definition* findByName(const std::vector<Definition>& definitions, std::string_view name)
{
    const auto found = std::ranges::find(definitions, name, &Definition::name);
    return found == definitions.end() ? nullptr : &*found;
}

// A call consists of a method and a path, such as "POST /quote"; it matches the path itself and all paths below it.
bool matches(std::string_view call, std::string_view method, std::string_view path)
{
    if (!call.starts_with(method) || call.size() <= method.size() || call[method.size()] != ' ')
        return false;
    const std::string_view prefix = call.substr(method.size() + 1);
    if (!path.starts_with(prefix))
        return false;
    return path.size() == prefix.size() || prefix.ends_with('/') || path[prefix.size()] == '/'
        || path[prefix.size()] == '?';
}

bool anyMatches(std::span<const std::string> calls, std::string_view method, std::string_view path)
{
    return std::ranges::any_of(calls, [&](const std::string& call) { return matches(call, method, path); });
}

} // namespace

const AccountDefinition* EnvironmentDocument::findAccountByKey(std::string_view keySha256) const
{
    // The parser sorts the accounts by the digest of their key.
    const auto found = std::ranges::lower_bound(this->accounts, keySha256, {}, &AccountDefinition::keySha256);
    return found != this->accounts.end() && found->keySha256 == keySha256 ? &*found : nullptr;
}

const AccountDefinition* EnvironmentDocument::findAccount(std::string_view name) const
{
    return findByName(this->accounts, name);
}

const ModelDefinition* EnvironmentDocument::findModel(std::string_view name) const
{
    return findByName(this->models, name);
}

const ServiceDefinition* EnvironmentDocument::findService(std::string_view name) const
{
    return findByName(this->services, name);
}

const UpstreamDefinition* EnvironmentDocument::findUpstream(std::string_view name) const
{
    return findByName(this->upstreams, name);
}

Repeatability repeatabilityFor(const ServiceDefinition& service, std::string_view method, std::string_view path)
{
    constexpr auto unsafeMethods = std::to_array<std::string_view>({ "POST", "PUT", "PATCH", "DELETE" });
    if (anyMatches(service.nonRepeatableCalls, method, path))
        return Repeatability::NonRepeatable;
    if (anyMatches(service.repeatableCalls, method, path))
        return Repeatability::Repeatable;
    const bool isUnsafe = std::ranges::find(unsafeMethods, method) != unsafeMethods.end();
    return isUnsafe ? Repeatability::NonRepeatable : Repeatability::Repeatable;
}

} // namespace Configuration
