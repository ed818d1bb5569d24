#pragma once

#include <cassert>
#include <string>
#include <utility>
#include <variant>
#include <vector>

// Return type of functions that can fail: either the value or the errors that prevented it.

namespace Papaya
{

/** An error in an input: a stable code for programs, a message for people, and the path of the field. */
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

    /** @return the errors; must only be called if not ok(). */
    [[nodiscard]] const Errors &errors() const
    {
        assert(!ok());
        return std::get<Errors>(m_state);
    }

private:
    std::variant<T, Errors> m_state;
};

} // namespace Papaya
