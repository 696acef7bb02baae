package org.ragwortbank.clients.upstream

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.io.bytestring.ByteString
import org.ragwortbank.clients.http.Address
import org.ragwortbank.clients.http.HttpCall
import org.ragwortbank.clients.http.HttpClient
import org.ragwortbank.clients.http.HttpHead
import org.ragwortbank.clients.http.HttpListener
import org.ragwortbank.clients.http.HttpReply
import org.ragwortbank.clients.http.fetch
import org.ragwortbank.core.message.SidecarCommand
import org.ragwortbank.core.model.AdapterRef
import org.ragwortbank.core.model.ResponseHead
import org.ragwortbank.core.model.Work
import org.ragwortbank.core.sidecar.LoadFailure
import org.ragwortbank.core.sidecar.RunFailure
import kotlin.time.Duration

/** A plain HTTP service; it holds no adapters and takes no orders. */
class ServiceClient(
    private val client: HttpClient,
    private val address: Address,
    private val timeout: Duration,
) : UpstreamClient {
    override fun run(command: SidecarCommand.Dispatch, listener: RunListener): AutoCloseable =
        when (val work = command.work) {
            is Work.ServiceCall -> client.open(address, call(work, command.isIdempotent), ServiceAnswer(listener))
            is Work.Generation -> refuse(listener)
        }

    override suspend fun resident(): PersistentSet<AdapterRef>? =
        when (client.fetch(address, HttpCall.get("/"), timeout)) {
            is HttpReply.Answered -> persistentSetOf()
            is HttpReply.Failed -> null
        }

    override suspend fun load(adapter: AdapterRef, fencing: Long): LoadFailure = LoadFailure.REFUSED

    override suspend fun unload(adapter: AdapterRef, fencing: Long): Boolean = false

    private fun call(work: Work.ServiceCall, idempotent: Boolean): HttpCall =
        HttpCall(work.method, work.path, work.headers, work.body.toByteArray(), fresh = !idempotent)

    private fun refuse(listener: RunListener): AutoCloseable {
        listener.broke(RunFailure.NotConnected)
        return AutoCloseable { }
    }

    private class ServiceAnswer(private val listener: RunListener) : HttpListener {
        private var received = 0L
        private var over = false

        override fun onHead(head: HttpHead) {
            val kept = head.headers.filterNot { it.name.lowercase() in HopHeaders.NAMES }
            listener.began(ResponseHead(head.status, kept.toPersistentList(), isStreamed = false))
        }

        override fun onContent(bytes: ByteArray) {
            received += bytes.size
            when {
                over -> Unit
                received > MAX_ANSWER_BYTES -> fail(EngineAnswer.tooLong)
                else -> listener.continued(0, ByteString(bytes))
            }
        }

        override fun onEnd() {
            if (!over) listener.completed(null)
        }

        override fun onFailure(connected: Boolean, cause: String) {
            if (!over) fail(if (connected) RunFailure.BrokenResponse(cause) else RunFailure.NotConnected)
        }

        private fun fail(failure: RunFailure) {
            over = true
            listener.broke(failure)
        }
    }
}
