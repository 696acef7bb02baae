package org.ragwortbank.node.gateway

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTimedValue

/** An answer that is skipped must not hide the failure of the request that is under way. */
class SkippedAnswerTest {
    // Guards against a failure whose id was spoilt: no earlier request can have been answered here.
    @Test
    fun `given a new connection and a failure with a foreign id, then a second answer isn't passed on`() =
        GatewayRig().use { rig ->
            rig.connect().use { caller ->
                caller.get("r1", ONCE)
                rig.nextUpstream().also { it.read() }.write(failureOf("never-carried") + successOf("r1"))
                assertNotEquals(SUCCESS, caller.read()?.status)
            }
        }

    // Guards against the same on a used connection: it never carried the id.
    @Test
    fun `given a used connection and a failure with an id it never carried, then a second answer isn't passed on`() =
        assertNotEquals(SUCCESS, statusOnUsedConnection { failureOf("foreign") + successOf("r2") })

    // Guards against a length that covers the own answer, as the second answer to a HEAD request has.
    @Test
    fun `given the own failure in place of a skipped body, then a second answer isn't passed on`() =
        assertNotEquals(SUCCESS, statusOnUsedConnection { coveringOf("r1", failureOf("r2")) + successOf("r2") })

    // Guards against a trailer that swallows the head and fields of the own answer.
    @Test
    fun `given a skipped answer cut inside its trailer, then a second answer isn't passed on`() =
        assertNotEquals(SUCCESS, statusOnUsedConnection { cutTrailerOf("r1") + failureOf("r2") + successOf("r2") })

    // Guards against connections that can carry nothing more and still count against the upstream's limit.
    @Test
    fun `given a connection that has carried all it may, then it is closed`() = GatewayRig().use { rig ->
        rig.connect().use { caller ->
            caller.get("first", ONCE)
            val upstream = rig.nextUpstream()
            answer(caller, upstream, "first")
            (2..MOST_EXCHANGES).forEach { number ->
                caller.get("r$number", ONCE)
                answer(caller, upstream, "r$number")
            }
            val (rest, waited) = measureTimedValue { upstream.readRest() }
            assertEquals("", rest)
            assertTrue(waited < 2.seconds, "still open after $waited")
        }
    }

    private fun answer(caller: RawConnection, upstream: RawConnection, id: String) {
        upstream.read()
        upstream.write(successOf(id))
        assertEquals(SUCCESS, caller.read()?.status)
    }

    private fun statusOnUsedConnection(answers: () -> String): Int? = GatewayRig().use { rig ->
        rig.connect().use { caller ->
            caller.get("r1", ONCE)
            val upstream = rig.nextUpstream().also { it.read() }
            upstream.write(failureOf("r1"))
            caller.read()
            caller.get("r2", ONCE)
            val used = rig.upstreamSoon() ?: upstream
            used.read()
            used.write(answers())
            caller.read()?.status
        }
    }

    private fun failureOf(id: String) =
        "HTTP/1.1 500 Some\r\nX-Request-Id: $id\r\nContent-Length: 0\r\n\r\n"

    private fun successOf(id: String) =
        "HTTP/1.1 $SUCCESS OK\r\nX-Request-Id: $id\r\nContent-Length: 2\r\n\r\nok"

    /** An answer whose length, but not whose body, is sent: [next] stands there. */
    private fun coveringOf(id: String, next: String) =
        "HTTP/1.1 $SUCCESS OK\r\nX-Request-Id: $id\r\nContent-Length: ${next.length}\r\n\r\n$next"

    private fun cutTrailerOf(id: String) =
        "HTTP/1.1 $SUCCESS OK\r\nX-Request-Id: $id\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Sum: a"

    private companion object {
        const val SUCCESS = 200
        const val ONCE = "/once/a"

        /** The bound in [ConnectionHistory]. */
        const val MOST_EXCHANGES = 128
    }
}
