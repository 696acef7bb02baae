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

/** Passes decoded calls to [sink] and answers the requests that need no upstream. */
internal class CallDispatcher(
    private val decoder: CallDecoder,
    private val sink: CallSink,
    val pendingWrites: PendingWrites,
) {
    /** Returns an ID for the next request. */
    fun nextRequestId(): RequestId = sink.nextRequestId()

    /** Reports that the caller of [request] closed its connection. */
    fun onCallerDisconnected(request: RequestId) = sink.onCallerDisconnected(request)

    /** Reports unacceptable input of [kind], which is answered with [refusal]. */
    fun onBadInput(kind: BadInput, refusal: Refusal) = sink.onBadInput(kind, refusal)

    /** Decodes an [assembled] request and handles it; the response goes to [writer]. */
    fun dispatch(assembled: Assembly.Complete, id: RequestId, writer: ResponseWriter) =
        when (val decoded = decoder.decode(assembled.request, assembled.body, id)) {
            is DecodedRequest.Rejected -> reject(decoded, writer)
            is DecodedRequest.ListModels -> writeModels(decoded, writer)
            is DecodedRequest.UpstreamCall -> submit(decoded, writer)
        }

    /** Writes a refusal. An unknown caller learns only that it is unknown, not what is wrong with its request. */
    private fun reject(decoded: DecodedRequest.Rejected, writer: ResponseWriter) {
        val isMalformed = decoded.refusal.code == ResultCode.MALFORMED_REQUEST
        val callerRefusal = sink.configuration.refusalOfUnknownCaller(decoded.credential, decoded.route)
        val unknownCallerRefusal = callerRefusal.takeIf { isMalformed }
        val refusal = unknownCallerRefusal ?: decoded.refusal
        sink.onBadInput(BadInput.BODY, refusal)
        writer.writeRefusal(refusal)
    }

    private fun submit(decoded: DecodedRequest.UpstreamCall, writer: ResponseWriter) {
        val isAccepted = sink.offerCall(decoded.call, writer)
        if (!isAccepted) writer.writeRefusal(Refusal.notRun(ResultCode.OVERLOADED))
    }

    private fun writeModels(decoded: DecodedRequest.ListModels, writer: ResponseWriter) {
        writer.writeHead(ResponseHead(OK, JSON, isStreamed = false))
        writer.writeChunk(modelListJson(sink.configuration, decoded.credential).encodeToByteString())
        writer.complete()
    }

    private companion object {
        const val OK = 200
        val JSON = persistentListOf(Header("Content-Type", "application/json"))
    }
}
