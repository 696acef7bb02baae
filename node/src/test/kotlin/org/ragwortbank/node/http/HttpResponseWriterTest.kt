package org.ragwortbank.node.http

import io.netty.channel.embedded.EmbeddedChannel
import kotlinx.collections.immutable.persistentListOf
import kotlinx.io.bytestring.encodeToByteString
import org.ragwortbank.core.model.ResponseHead
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.node.PendingWrites
import org.ragwortbank.node.settings.HttpSettings
import kotlin.test.Test
import kotlin.test.assertEquals

/** A response that is over gets no further part, which would stand where the caller's next response is due. */
class HttpResponseWriterTest {
    private var writtenCount = 0
    private val channel = EmbeddedChannel()
    private val responses = ResponseFactory("r1", keepAlive = true)
    private val writer = HttpResponseWriter(channel, responses, HttpSettings(), PendingWrites()) { writtenCount++ }

    // Guards against a late part of a stream in front of the caller's next response.
    @Test
    fun `given a complete stream, when more of it is written, then nothing is sent`() {
        writer.writeHead(ResponseHead(OK, persistentListOf(), isStreamed = true))
        writer.complete()
        sent()
        writer.writeChunk("late".encodeToByteString())
        writer.complete()
        assertEquals(emptyList(), sent())
        assertEquals(1, writtenCount)
    }

    // Guards against a second head on a connection where no request waits for it.
    @Test
    fun `given a refusal, when a response begins, then nothing is sent`() {
        writer.writeRefusal(Refusal.notRun(ResultCode.DRAINING))
        sent()
        writer.writeHead(ResponseHead(OK, persistentListOf(), isStreamed = true))
        writer.complete()
        assertEquals(emptyList(), sent())
    }

    // Guards against a refusal behind a whole response.
    @Test
    fun `given a complete response, when it is refused, then nothing is sent`() {
        writer.writeHead(ResponseHead(OK, persistentListOf(), isStreamed = false))
        writer.complete()
        sent()
        writer.writeRefusal(Refusal.notRun(ResultCode.DRAINING))
        assertEquals(emptyList(), sent())
    }

    private fun sent(): List<Any> = generateSequence { channel.readOutbound<Any>() }.toList()

    private companion object {
        const val OK = 200
    }
}
