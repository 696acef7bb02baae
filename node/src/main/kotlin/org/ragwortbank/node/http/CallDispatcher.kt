package org.ragwortbank.node.http

import kotlinx.collections.immutable.persistentListOf
import kotlinx.io.bytestring.encodeToByteString
import org.ragwortbank.core.entry.refusalOfUnknownCaller
import org.ragwortbank.core.model.Header
import org.ragwortbank.core.model.RequestId
import org.ragwortbank.core.model.ResponseHead
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.node.PendingWrites
import org.ragwortbank.node.metrics.BadInput

/** Passes decoded requests on to [sink] and answers at once what needs no upstream. */
internal class CallDispatcher(
    private val decoder: CallDecoder,
    private val sink: CallSink,
    val writes: PendingWrites,
) {
    /** An identifier for the next request. */
    fun nextId(): RequestId = sink.nextId()

    /** The caller of [request] closed its connection. */
    fun callerGone(request: RequestId) = sink.onCallerGone(request)

    /** Input was not acceptable and was answered with [refusal]. */
    fun badInput(kind: BadInput, refusal: Refusal) = sink.onBadInput(kind, refusal)

    /** Decodes a request and passes it on; the answer goes to [writer]. */
    fun dispatch(whole: Assembly.Whole, id: RequestId, writer: AnswerWriter) =
        when (val decoded = decoder.decode(whole.request, whole.body, id)) {
            is Decoded.Bad -> refuse(decoded, writer)
            is Decoded.Models -> writeModels(decoded, writer)
            is Decoded.Good -> passOn(decoded, writer)
        }

    /** Who isn't known is told only that. */
    private fun refuse(decoded: Decoded.Bad, writer: AnswerWriter) {
        val checksCaller = decoded.refusal.code == ResultCode.MALFORMED_REQUEST
        val callerRefusal = sink.configuration.refusalOfUnknownCaller(decoded.credential, decoded.route)
        val stranger = callerRefusal.takeIf { checksCaller }
        val refusal = stranger ?: decoded.refusal
        sink.onBadInput(BadInput.BODY, refusal)
        writer.refuse(refusal)
    }

    private fun passOn(decoded: Decoded.Good, writer: AnswerWriter) {
        val taken = sink.onCall(decoded.call, writer)
        if (!taken) writer.refuse(Refusal.notRun(ResultCode.OVERLOADED))
    }

    private fun writeModels(decoded: Decoded.Models, writer: AnswerWriter) {
        writer.begin(ResponseHead(OK, JSON, isStreamed = false))
        writer.continueWith(modelsBody(sink.configuration, decoded.credential).encodeToByteString())
        writer.end()
    }

    private companion object {
        const val OK = 200
        val JSON = persistentListOf(Header("Content-Type", "application/json"))
    }
}
