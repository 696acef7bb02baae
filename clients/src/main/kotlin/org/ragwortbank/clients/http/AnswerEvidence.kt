package org.ragwortbank.clients.http

import org.ragwortbank.core.model.Header

/** Judges whether an answer belongs to a call that carries [expected], on a connection that may be a reused one. */
internal class AnswerEvidence(
    private val expected: Header?,
    private val isConnectionReused: Boolean,
) {
    /** Whether an answer with [head] belongs to the call. */
    fun judge(head: HttpHead): AnswerVerdict {
        val value = expected?.let { head.header(it.name) }
        return when {
            head.status == SWITCHING_PROTOCOLS -> AnswerVerdict.FOREIGN
            expected == null || value == expected.value -> AnswerVerdict.OWN
            value == null && !isConnectionReused -> AnswerVerdict.UNMARKED
            else -> AnswerVerdict.FOREIGN
        }
    }

    private companion object {
        /** Answers a request for another protocol, which no call is. */
        const val SWITCHING_PROTOCOLS = 101
    }
}

/** Whether an answer belongs to a call. */
internal enum class AnswerVerdict {
    /** It does, as far as the call asks for evidence. */
    OWN,

    /** It does, because the connection has carried no other call; there is no evidence for a later one. */
    UNMARKED,

    /** It doesn't, or there is no evidence of it. */
    FOREIGN,
}
