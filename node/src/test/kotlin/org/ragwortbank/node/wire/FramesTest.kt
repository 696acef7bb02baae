package org.ragwortbank.node.wire

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentSet
import kotlinx.io.bytestring.encodeToByteString
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.ragwortbank.core.limits.GrantOrigin
import org.ragwortbank.core.message.EntryMessage
import org.ragwortbank.core.message.RunId
import org.ragwortbank.core.message.SidecarCommand
import org.ragwortbank.core.message.SidecarReport
import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.model.AdapterRef
import org.ragwortbank.core.model.GenerationApi
import org.ragwortbank.core.model.Header
import org.ragwortbank.core.model.Incarnation
import org.ragwortbank.core.model.RequestId
import org.ragwortbank.core.model.ResponseHead
import org.ragwortbank.core.model.RouteName
import org.ragwortbank.core.model.Usage
import org.ragwortbank.core.model.Work
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.tick.Timestamp
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.time.Duration.Companion.milliseconds

class FramesTest {
    private val run = RunId(RequestId(Incarnation("entry-1.0123456789"), 123_456), 1)
    private val account = AccountId("blue-hollow")
    private val grantOrigin = GrantOrigin(Incarnation("entry-2.0123456789"), Timestamp(1_234_567_890_123))
    private val head =
        ResponseHead(200, persistentListOf(Header("Content-Type", "text/event-stream")), isStreamed = true)

    private fun encodeAndDecode(message: WireMessage): WireMessage = requireNotNull(decodeFrame(encodeFrame(message)))

    @Test
    fun `sidecar commands survive encoding and decoding`() {
        val body = "{}".encodeToByteString()
        val generate = Work.Generation(GenerationApi.CHAT, true, 3, 64, includeUsage = true, body)
        val plain = Work.ServiceCall("POST", "/lessons", persistentListOf(Header("A", "b")), body)
        val adapter = AdapterRef("advice", "3")
        val commands = listOf(
            SidecarCommand.Dispatch(run, account, RouteName("advice"), adapter, isIdempotent = true, generate),
            SidecarCommand.Dispatch(run, account, RouteName("booking"), null, isIdempotent = false, plain),
            SidecarCommand.Cancel(run),
        )
        assertEquals(commands, commands.map { encodeAndDecode(it.toWire()).toCommand() })
    }

    @Test
    fun `sidecar reports survive encoding and decoding`() {
        val resident = (1..32).map { AdapterRef("adapter-$it", "1") }.toPersistentSet()
        val reports = listOf(
            SidecarReport.Started(run, head),
            SidecarReport.Chunk(run, 7, 1, "piece".encodeToByteString()),
            SidecarReport.Completed(run, 8, Usage(3, 8)),
            SidecarReport.Failed(run, Refusal.notRun(ResultCode.QUEUE_FULL, retryAfter = 20.milliseconds)),
            SidecarReport.Digest(resident, queuedCount = 2, runningCount = 3, isAccepting = true),
        )
        assertEquals(reports, reports.map { encodeAndDecode(it.toWire()).toReport() })
    }

    @Test
    fun `messages between entries survive encoding and decoding`() {
        val messages = listOf(
            EntryMessage.CreditRequest(5, account, persistentListOf(100, 200)),
            EntryMessage.CreditGrant(5, account, 300, grantOrigin, 20.milliseconds),
            EntryMessage.NotBucketOwner(5, account),
            EntryMessage.CreditReturn(account, 40, grantOrigin),
            EntryMessage.BucketRequest(2, account),
            EntryMessage.BucketHandover(2, account, null, 0),
            EntryMessage.ConfigVersionNotice(9),
        )
        assertEquals(messages, messages.map { encodeAndDecode(it.toWire()).toEntryMessage() })
    }

    @Test
    fun `a sidecar command is neither a report nor a message between entries`() {
        val cancel = SidecarCommand.Cancel(run).toWire()
        assertNull(cancel.toReport())
        assertNull(cancel.toEntryMessage())
    }

    @Property(seed = "20261204", tries = 500)
    fun `decoding arbitrary bytes throws no exception`(@ForAll bytes: ByteArray) {
        decodeFrame(bytes)
    }

    @Property(seed = "20261204", tries = 500)
    fun `decoding a frame with one changed byte throws no exception`(@ForAll position: Int, @ForAll value: Byte) {
        val frame = encodeFrame(EntryMessage.CreditGrant(5, account, 300, grantOrigin, 20.milliseconds).toWire())
        frame[position.mod(frame.size)] = value
        decodeFrame(frame)?.toEntryMessage()
    }
}
