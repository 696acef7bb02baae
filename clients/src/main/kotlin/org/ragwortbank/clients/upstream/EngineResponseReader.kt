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
internal abstract class EngineAnswer(
    private val adapter: AdapterRef,
    private val listener: RunListener,
) : HttpListener {
    private var over = false
    private var refusal: EngineRefusal? = null

    /** A 2xx answer begins. */
    protected abstract fun onAccepted()

    /** A piece of a 2xx answer arrived. */
    protected abstract fun onAcceptedContent(bytes: ByteArray)

    /** A 2xx answer ended. */
    protected abstract fun onAcceptedEnd()

    override fun onHead(head: HttpHead) {
        if (head.status in ACCEPTED) onAccepted() else refusal = EngineRefusal(head.status, adapter, listener)
    }

    override fun onContent(bytes: ByteArray) {
        if (!over) refusal?.add(bytes) ?: onAcceptedContent(bytes)
    }

    override fun onEnd() {
        val refused = refusal
        when {
            over -> Unit
            refused == null -> onAcceptedEnd()
            else -> refused.end()
        }
    }

    override fun onFailure(connected: Boolean, cause: String) =
        fail(if (connected) RunFailure.BrokenResponse(cause) else RunFailure.NotConnected)

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
        if (over) return
        over = true
        listener.completed(usage?.let { Usage(it.prompt, it.completion) })
    }

    /** Reports that the answer is not complete. */
    protected fun fail(failure: RunFailure) {
        if (over) return
        over = true
        listener.broke(failure)
    }

    companion object {
        /** What an answer above the bound counts as. */
        val tooLong: RunFailure = RunFailure.BrokenResponse("the answer is longer than $MAX_ANSWER_BYTES bytes")

        private val ACCEPTED = 200..299

        /** Header fields of a JSON answer. */
        val JSON_HEADERS = persistentListOf(Header("Content-Type", "application/json"))

        /** Reads the answer to [work] by [adapter]. */
        fun of(work: Work.Generation, adapter: AdapterRef, listener: RunListener): EngineAnswer =
            if (work.isStreamed) {
                StreamedAnswer(work.includeUsage, adapter, listener)
            } else {
                WholeAnswer(adapter, listener)
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
