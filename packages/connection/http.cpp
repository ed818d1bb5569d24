#include "connection/http.h"

#include <algorithm>
#include <cctype>

namespace Papaya
{

namespace
{

bool equalsIgnoreCase(std::string_view left, std::string_view right)
{
    const auto equal = [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); };
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), equal);
}

const std::string EMPTY_VALUE;

} // namespace

void HttpFields::set(std::string_view name, std::string_view value)
{
    for (HttpField &field : m_fields) {
        if (equalsIgnoreCase(field.name, name)) {
            field.value = value;
            return;
        }
    }
    append(name, value);
}

void HttpFields::append(std::string_view name, std::string_view value)
{
    m_fields.push_back({std::string(name), std::string(value)});
}

const std::string &HttpFields::get(std::string_view name) const
{
    for (const HttpField &field : m_fields) {
        if (equalsIgnoreCase(field.name, name)) {
            return field.value;
        }
    }
    return EMPTY_VALUE;
}

bool HttpFields::has(std::string_view name) const
{
    const auto matches = [&](const HttpField &field) { return equalsIgnoreCase(field.name, name); };
    return std::any_of(m_fields.begin(), m_fields.end(), matches);
}

std::string_view HttpRequest::path() const
{
    return std::string_view(target).substr(0, target.find('?'));
}

std::string_view HttpRequest::query(std::string_view name) const
{
    const std::size_t queryStart = target.find('?');
    std::string_view rest =
        queryStart == std::string::npos ? std::string_view() : std::string_view(target).substr(queryStart + 1);
    while (!rest.empty()) {
        const std::string_view pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
        const std::size_t equals = pair.find('=');
        if (pair.substr(0, equals) == name && equals != std::string_view::npos) {
            return pair.substr(equals + 1);
        }
    }
    return {};
}

} // namespace Papaya
