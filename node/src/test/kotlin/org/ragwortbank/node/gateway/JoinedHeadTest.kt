package org.ragwortbank.node.gateway

import kotlin.test.Test
import kotlin.test.assertEquals

/** A faulty upstream may send additional bytes behind a whole answer, such as the beginning of another one. */
class JoinedHeadTest {
    // Guards against a head that is joined from the begun line of one answer and the rest of the next one.
    @Test
    fun `given the beginning of an answer behind another, when the next request fails, then it gets no success`() =
        assertEquals(emptyList(), cuts.filter { isPassedOnAsSuccess(behindAnswer = it, beforeAnswer = "") })

    // Guards against the same while the next request is under way already.
    @Test
    fun `given the beginning of an answer before that to a request, when this failed, then it gets no success`() =
        assertEquals(emptyList(), cuts.filter { isPassedOnAsSuccess(behindAnswer = "", beforeAnswer = it) })

    /** Whether a request that fails on a connection with additional bytes reaches its caller as a success. */
    private fun isPassedOnAsSuccess(behindAnswer: String, beforeAnswer: String): Boolean = GatewayRig().use { rig ->
        rig.connect().use { caller ->
            caller.get("r1", "/once/a")
            val upstream = rig.nextUpstream().also { it.read() }
            upstream.write(failureOf("r1") + behindAnswer)
            assertEquals(FAILED, caller.read()?.status)
            caller.get("r2", "/once/a")
            val used = rig.upstreamSoon() ?: upstream
            used.read()
            used.write(beforeAnswer + failureOf("r2"))
            val received = caller.read()
            received != null && received.status < FIRST_REDIRECTION
        }
    }

    private fun failureOf(id: String) =
        "HTTP/1.1 $FAILED Some\r\nX-Request-Id: $id\r\nX-Signature: of-$id\r\nContent-Length: 0\r\n\r\n"

    private companion object {
        const val FAILED = 500
        const val FIRST_REDIRECTION = 300

        /** Bytes up to which an answer is cut after each one; later ones are cut after every [CUT_STEP]. */
        const val DENSE_CUTS = 30
        const val CUT_STEP = 9
        const val SECOND =
            "HTTP/1.1 200 OK\r\nX-Filler: a\r\nX-Request-Id: r1\r\nContent-Length: 2\r\n\r\nok"
        val cuts = ((1..DENSE_CUTS) + (DENSE_CUTS..SECOND.length step CUT_STEP)).distinct().map { SECOND.take(it) }
    }
}
