package org.ragwortbank.clients.upstream

import kotlinx.collections.immutable.persistentListOf
import kotlinx.serialization.SerializationException
import org.ragwortbank.clients.http.HttpHead
import org.ragwortbank.clients.http.HttpListener
import org.ragwortbank.core.model.AdapterRef
import org.ragwortbank.core.model.Header
import org.ragwortbank.core.model.Usage
import org.ragwortbank.core.model.Work
import org.ragwortbank.core.sidecar.RunFailure

/** Reads an engine's response and checks that it comes from the requested adapter. */
internal abstract class EngineResponseReader(
    private val adapter: AdapterRef,
    private val listener: RunListener,
) : HttpListener {
    private var isCompleted = false
    private var errorReader: ErrorResponseReader? = null

    /** The head of a 2xx response arrived. */
    protected abstract fun onSuccessHead()

    /** A chunk of a 2xx response arrived. */
    protected abstract fun onSuccessContent(bytes: ByteArray)

    /** A 2xx response ended. */
    protected abstract fun onSuccessCompleted()

    override fun onHead(head: HttpHead) {
        if (head.status in SUCCESS_STATUSES) {
            onSuccessHead()
        } else {
            errorReader = ErrorResponseReader(head.status, adapter, listener)
        }
    }

    override fun onContent(bytes: ByteArray) {
        if (!isCompleted) errorReader?.add(bytes) ?: onSuccessContent(bytes)
    }

    override fun onCompleted() {
        val reader = errorReader
        when {
            isCompleted -> Unit
            reader == null -> onSuccessCompleted()
            else -> reader.complete()
        }
    }

    override fun onFailure(wasConnected: Boolean, cause: String) =
        fail(if (wasConnected) RunFailure.BrokenResponse(cause) else RunFailure.NotConnected)

    /** Reads [text] and reports a failure if it is malformed, an error or from another adapter. */
    protected fun parse(text: String): EngineResponse? {
        val parsed = decodeEngineResponse(text)
        val failure = when {
            parsed == null -> RunFailure.BrokenResponse("the engine sent malformed JSON")
            parsed.error != null -> RunFailure.BrokenResponse("the engine reported an error")
            parsed.model != adapter.engineName -> RunFailure.WrongAdapter(parsed.model.orEmpty())
            else -> null
        }
        failure?.let(::fail)
        return if (failure == null) parsed else null
    }

    /** Reports that the response is complete. */
    protected fun complete(usage: EngineUsage?) {
        if (isCompleted) return
        isCompleted = true
        listener.onCompleted(usage?.let { Usage(it.prompt, it.completion) })
    }

    /** Reports that there will be no complete response. */
    protected fun fail(failure: RunFailure) {
        if (isCompleted) return
        isCompleted = true
        listener.onFailed(failure)
    }

    companion object {
        /** Failure reported for a response above the size limit. */
        val responseTooLong: RunFailure =
            RunFailure.BrokenResponse("the response is longer than $MAX_RESPONSE_BYTES bytes")

        private val SUCCESS_STATUSES = 200..299

        /** Header fields of a JSON response. */
        val JSON_HEADERS = persistentListOf(Header("Content-Type", "application/json"))

        /** Creates a reader for the response of [adapter] to [work]. */
        fun of(work: Work.Generation, adapter: AdapterRef, listener: RunListener): EngineResponseReader =
            if (work.isStreamed) {
                StreamedResponseReader(work.includeUsage, adapter, listener)
            } else {
                CompleteResponseReader(adapter, listener)
            }
    }
}

/** Decodes the fields of [text] that the system reads; null when it is malformed. */
internal fun decodeEngineResponse(text: String): EngineResponse? =
    try {
        EngineJson.decodeFromString(EngineResponse.serializer(), text)
    } catch (_: SerializationException) {
        null
    }
