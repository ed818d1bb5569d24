#pragma once

namespace Papaya
{

/** Allows retries only as a share of what succeeds, so that retries cannot multiply a failure. */
class RetryBudget
{
public:
    /**
     * @param share retries earned by each success
     * @param reserve retries that may be saved up; also the amount at the start
     */
    RetryBudget(double share, double reserve)
        : m_share(share)
        , m_reserve(reserve)
        , m_tokens(reserve)
    {
    }

    /** Counts a success. */
    void earn()
    {
        m_tokens = m_tokens + m_share < m_reserve ? m_tokens + m_share : m_reserve;
    }

    /** @return true if a retry may be sent; it is then paid for. */
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
