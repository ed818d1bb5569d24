#pragma once

namespace Papaya
{

/** Token bucket that limits retries to a share of the successes, so that retries cannot multiply a failure. */
class RetryBudget
{
public:
    /**
     * @param share tokens that each success adds; a retry costs one token
     * @param reserve capacity of the bucket in tokens, which it is filled with at the start
     */
    RetryBudget(double share, double reserve)
        : m_share(share)
        , m_reserve(reserve)
        , m_tokens(reserve)
    {
    }

    /** Adds the tokens of one success. */
    void earn()
    {
        m_tokens = m_tokens + m_share < m_reserve ? m_tokens + m_share : m_reserve;
    }

    /**
     * Takes the token for one retry.
     * @return true if there was a token, so that the retry may be sent
     */
    bool spend()
    {
        if (m_tokens < 1.0) {
            return false;
        }
        m_tokens -= 1.0;
        return true;
    }

private:
    double m_share;
    double m_reserve;
    double m_tokens;
};

} // namespace Papaya
