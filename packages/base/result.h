#pragma once

#include <cassert>
#include <string>
#include <utility>
#include <variant>
#include <vector>

// Static factory functions return a Result: either the object or the errors that kept it from being made.

namespace Papaya
{

/** One thing wrong with an input: a stable code, a sentence for a person, and the path of the offending field. */
struct Error {
    std::string code;
    std::string message;
    std::string path;

    bool operator==(const Error &) const = default;
};

using Errors = std::vector<Error>;

/** A value, or at least one error. */
template<typename T>
class Result
{
public:
    Result(T value)
        : m_state(std::move(value))
    {
    }
    Result(Error error)
        : m_state(Errors {std::move(error)})
    {
    }
    Result(Errors errors)
        : m_state(std::move(errors))
    {
        assert(!std::get<Errors>(m_state).empty());
    }

    [[nodiscard]] bool ok() const
    {
        return std::holds_alternative<T>(m_state);
    }
    explicit operator bool() const
    {
        return ok();
    }

    /** @return the value; must only be called if ok(). */
    T &value()
    {
        assert(ok());
        return std::get<T>(m_state);
    }
    const T &value() const
    {
        assert(ok());
        return std::get<T>(m_state);
    }
    T *operator->()
    {
        return &value();
    }
    const T *operator->() const
    {
        return &value();
    }
    T &operator*()
    {
        return value();
    }
    const T &operator*() const
    {
        return value();
    }

    /** @return what went wrong; must only be called if not ok(). */
    [[nodiscard]] const Errors &errors() const
    {
        assert(!ok());
        return std::get<Errors>(m_state);
    }

private:
    std::variant<T, Errors> m_state;
};

} // namespace Papaya
