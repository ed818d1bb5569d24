#pragma once

namespace Papaya
{

/** Token bucket that limits retries to a share of the successes, so that retries cannot amplify a failure. */
class RetryBudget
{
public:
    /**
     * @param tokensPerSuccess tokens that each success adds; a retry costs one token
     * @param maxTokens capacity of the bucket in tokens; the bucket starts full
     */
    RetryBudget(double tokensPerSuccess, double maxTokens)
        : m_tokensPerSuccess(tokensPerSuccess)
        , m_maxTokens(maxTokens)
        , m_tokens(maxTokens)
    {
    }

    /** Adds the tokens of one success. */
    void earn()
    {
        m_tokens = m_tokens + m_tokensPerSuccess < m_maxTokens ? m_tokens + m_tokensPerSuccess : m_maxTokens;
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
    double m_tokensPerSuccess;
    double m_maxTokens;
    double m_tokens;
};

} // namespace Papaya
