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

/** Client of a plain HTTP service, which has no adapters and accepts no commands. */
class ServiceClient(
    private val client: HttpClient,
    private val address: Address,
    private val timeout: Duration,
) : UpstreamClient {
    override fun run(command: SidecarCommand.Dispatch, listener: RunListener): AutoCloseable =
        when (val work = command.work) {
            is Work.ServiceCall -> client.open(address, call(work), ServiceResponseReader(listener))
            is Work.Generation -> rejectUnsupported(listener)
        }

    override suspend fun residentAdapters(): PersistentSet<AdapterRef>? =
        when (client.fetch(address, HttpCall.get("/"), timeout)) {
            is HttpReply.Answered -> persistentSetOf()
            is HttpReply.Failed -> null
        }

    override suspend fun load(adapter: AdapterRef, fencingToken: Long): LoadFailure = LoadFailure.REFUSED

    override suspend fun unload(adapter: AdapterRef, fencingToken: Long): Boolean = false

    /** A service repeats nothing of a request, so that only its connection tells which one an answer belongs to. */
    private fun call(work: Work.ServiceCall): HttpCall =
        HttpCall(work.method, work.path, work.headers, work.body.toByteArray(), needsNewConnection = true)

    private fun rejectUnsupported(listener: RunListener): AutoCloseable {
        listener.onFailed(RunFailure.NotConnected)
        return AutoCloseable { }
    }

    private class ServiceResponseReader(private val listener: RunListener) : HttpListener {
        private var receivedBytes = 0L
        private var isCompleted = false

        override fun onHead(head: HttpHead) {
            val endToEndHeaders = head.headers.filterNot { it.name.lowercase() in HopHeaders.NAMES }
            listener.onHead(ResponseHead(head.status, endToEndHeaders.toPersistentList(), isStreamed = false))
        }

        override fun onContent(bytes: ByteArray) {
            receivedBytes += bytes.size
            when {
                isCompleted -> Unit
                receivedBytes > MAX_RESPONSE_BYTES -> fail(EngineResponseReader.responseTooLong)
                else -> listener.onOutput(0, ByteString(bytes))
            }
        }

        override fun onCompleted() {
            if (!isCompleted) listener.onCompleted(null)
        }

        override fun onFailure(wasConnected: Boolean, cause: String) {
            if (!isCompleted) fail(if (wasConnected) RunFailure.BrokenResponse(cause) else RunFailure.NotConnected)
        }

        private fun fail(failure: RunFailure) {
            isCompleted = true
            listener.onFailed(failure)
        }
    }
}
