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

/** Reads an engine's answer and checks that it comes from the adapter that was asked for. */
internal abstract class EngineResponseReader(
    private val adapter: AdapterRef,
    private val listener: RunListener,
) : HttpListener {
    private var isCompleted = false
    private var errorReader: ErrorResponseReader? = null

    /** A 2xx answer begins. */
    protected abstract fun onSuccessHead()

    /** A piece of a 2xx answer arrived. */
    protected abstract fun onSuccessContent(bytes: ByteArray)

    /** A 2xx answer ended. */
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

    /** Reads [text] and reports a failure when it is malformed, an error or of another adapter. */
    protected fun parse(text: String): EngineObject? {
        val parsed = decodeEngineObject(text)
        val failure = when {
            parsed == null -> RunFailure.BrokenResponse("the engine sent malformed JSON")
            parsed.error != null -> RunFailure.BrokenResponse("the engine reported an error")
            parsed.model != adapter.engineName -> RunFailure.WrongAdapter(parsed.model.orEmpty())
            else -> null
        }
        failure?.let(::fail)
        return if (failure == null) parsed else null
    }

    /** Reports the end of the answer. */
    protected fun complete(usage: EngineUsage?) {
        if (isCompleted) return
        isCompleted = true
        listener.onCompleted(usage?.let { Usage(it.prompt, it.completion) })
    }

    /** Reports that the answer is not complete. */
    protected fun fail(failure: RunFailure) {
        if (isCompleted) return
        isCompleted = true
        listener.onFailed(failure)
    }

    companion object {
        /** What an answer above the bound counts as. */
        val responseTooLong: RunFailure =
            RunFailure.BrokenResponse("the answer is longer than $MAX_RESPONSE_BYTES bytes")

        private val SUCCESS_STATUSES = 200..299

        /** Header fields of a JSON answer. */
        val JSON_HEADERS = persistentListOf(Header("Content-Type", "application/json"))

        /** Reads the answer to [work] by [adapter]. */
        fun of(work: Work.Generation, adapter: AdapterRef, listener: RunListener): EngineResponseReader =
            if (work.isStreamed) {
                StreamedResponseReader(work.includeUsage, adapter, listener)
            } else {
                CompleteResponseReader(adapter, listener)
            }
    }
}

/** The parts of [text] that the system looks at; null when it is malformed. */
internal fun decodeEngineObject(text: String): EngineObject? =
    try {
        EngineJson.decodeFromString(EngineObject.serializer(), text)
    } catch (_: SerializationException) {
        null
    }
