package org.ragwortbank.node.gateway

import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import org.ragwortbank.node.port.RequestDialect
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

/** Which answers may follow on one that an upstream owes, without being it. */
class AnswerMatcherTest {
    private val matcher = AnswerMatcher("r2", IdDialect)
    private val used = ConnectionHistory(number = 1).after(CompletedExchange("r1", 200))

    @Test
    fun `given a second answer to an earlier request on the connection, then it is skipped`() =
        assertEquals(AnswerMatch.OfOtherRequest, match(200, "r1"))

    // Guards against a failure that is skipped because it names another request, so that a second answer counts.
    @Test
    fun `given an answer to a request that the connection has not carried, then nothing on it is trusted`() {
        assertIs<AnswerMatch.Refused>(match(500, "r3"))
        assertIs<AnswerMatch.Refused>(match(500, "r1", ConnectionHistory(number = 1)))
    }

    // Guards against an unknown interim answer in place of a failure.
    @Test
    fun `given interim answers, then only the known ones are skipped`() {
        listOf(100, 102, 103).forEach { assertEquals(AnswerMatch.Interim, match(it, null), "$it") }
        listOf(101, 104, 199).forEach { assertIs<AnswerMatch.Refused>(match(it, null), "$it") }
    }

    @Test
    fun `given an answer that names the request, then it is its own`() = assertEquals(AnswerMatch.Own, match(500, "r2"))

    // Guards against an own failure that is skipped because another id stands before its own.
    @Test
    fun `given a head with another id before the own one, then it is refused and not skipped`() {
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.INTERNAL_SERVER_ERROR)
        response.headers().add("X-Request-Id", "r1").add("X-Request-Id", "r2")
        assertIs<AnswerMatch.Refused>(AnswerMatcher("r2", SingleIdDialect).match(response, used))
    }

    private object SingleIdDialect : RequestDialect by IdDialect {
        override fun defect(response: HttpResponse): String? =
            "two ids".takeIf { response.headers().getAll("X-Request-Id").size > 1 }
    }

    private fun match(status: Int, id: String?, history: ConnectionHistory = used): AnswerMatch {
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status))
        id?.let { response.headers().add("X-Request-Id", it) }
        return matcher.match(response, history)
    }
}
