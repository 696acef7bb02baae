package org.ragwortbank.clients.upstream

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentSet
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.ragwortbank.clients.http.Address
import org.ragwortbank.clients.http.CallIds
import org.ragwortbank.clients.http.HttpCall
import org.ragwortbank.clients.http.HttpClient
import org.ragwortbank.clients.http.HttpReply
import org.ragwortbank.clients.http.fetch
import org.ragwortbank.core.message.SidecarCommand
import org.ragwortbank.core.model.AdapterRef
import org.ragwortbank.core.model.GenerationApi
import org.ragwortbank.core.model.Header
import org.ragwortbank.core.model.Work
import org.ragwortbank.core.sidecar.LoadFailure
import org.ragwortbank.core.sidecar.RunFailure
import kotlin.time.Duration

/**
 * A model engine with the OpenAI-compatible interface and the load and unload calls for LoRA adapters.
 *
 * Engines that repeat `X-Request-Id` keep their connections; others get a new one for each call.
 *
 * @param weightPrefix prefix of the path of an adapter's weights; the adapter's engine name is appended
 * @param loadTimeout time-out of a load command
 * @param timeout time-out of every other command
 */
class EngineClient(
    private val client: HttpClient,
    private val address: Address,
    private val weightPrefix: String,
    private val loadTimeout: Duration,
    private val timeout: Duration,
) : UpstreamClient {
    private val callIds = CallIds()

    override fun run(command: SidecarCommand.Dispatch, listener: RunListener): AutoCloseable {
        val work = command.work as? Work.Generation
        val adapter = command.adapter
        val body = if (work == null || adapter == null) null else engineRequestBody(work, adapter)
        return when {
            work == null || adapter == null || body == null -> rejectUnsupported(listener)
            else -> generate(command, work, body, EngineResponseReader.of(work, adapter, listener))
        }
    }

    override suspend fun residentAdapters(): PersistentSet<AdapterRef>? {
        val call = HttpCall("GET", "/v1/models", echoedField = Header(ID_HEADER, callIds.next()))
        val reply = client.fetch(address, call, timeout)
        return if (reply is HttpReply.Answered && reply.isSuccess) residentAdaptersIn(reply.text) else null
    }

    override suspend fun load(adapter: AdapterRef, fencingToken: Long): LoadFailure? {
        val request = LoadAdapterRequest(adapter.engineName, weightPrefix + adapter.engineName)
        val body = Json.encodeToString(LoadAdapterRequest.serializer(), request)
        val call = commandCall("/v1/load_lora_adapter", body, fencingToken)
        return when (val reply = client.fetch(address, call, loadTimeout)) {
            is HttpReply.Answered -> loadResult(reply)
            is HttpReply.Failed -> if (reply.wasConnected) LoadFailure.TIMEOUT else LoadFailure.NOT_CONNECTED
        }
    }

    override suspend fun unload(adapter: AdapterRef, fencingToken: Long): Boolean {
        val body = Json.encodeToString(UnloadAdapterRequest.serializer(), UnloadAdapterRequest(adapter.engineName))
        val reply = client.fetch(address, commandCall("/v1/unload_lora_adapter", body, fencingToken), timeout)
        return reply is HttpReply.Answered && (reply.isSuccess || reply.status == NOT_FOUND)
    }

    private fun generate(
        command: SidecarCommand.Dispatch,
        work: Work.Generation,
        body: String,
        reader: EngineResponseReader,
    ): AutoCloseable {
        val path = when (work.api) {
            GenerationApi.COMPLETIONS -> "/v1/completions"
            GenerationApi.CHAT -> "/v1/chat/completions"
        }
        val call = HttpCall(
            method = "POST",
            path = path,
            headers = persistentListOf(CONTENT_TYPE),
            body = body.encodeToByteArray(),
            needsNewConnection = !command.isIdempotent,
            echoedField = Header(ID_HEADER, command.run.toString()),
        )
        return client.open(address, call, reader)
    }

    private fun rejectUnsupported(listener: RunListener): AutoCloseable {
        listener.onFailed(RunFailure.NotConnected)
        return AutoCloseable { }
    }

    private fun commandCall(path: String, body: String, fencingToken: Long): HttpCall {
        val headers = persistentListOf(CONTENT_TYPE, Header(FENCING_HEADER, fencingToken.toString()))
        return HttpCall("POST", path, headers, body.encodeToByteArray(), needsNewConnection = true)
    }

    private fun loadResult(reply: HttpReply.Answered): LoadFailure? =
        when {
            reply.isSuccess -> null
            reply.status == CONFLICT -> LoadFailure.FENCED
            reply.status == BAD_REQUEST && "already been loaded" in reply.text -> null
            else -> LoadFailure.REFUSED
        }

    private fun residentAdaptersIn(text: String): PersistentSet<AdapterRef>? =
        try {
            val list = EngineJson.decodeFromString(ModelList.serializer(), text)
            list.data.filter { it.parent != null }.mapNotNull { parseAdapterRef(it.id) }.toPersistentSet()
        } catch (_: SerializationException) {
            null
        }

    private fun parseAdapterRef(name: String): AdapterRef? {
        val version = name.substringAfterLast('@', "")
        return if (version.isEmpty()) null else AdapterRef(name.substringBeforeLast('@'), version)
    }

    companion object {
        /** Header field that carries the fencing token of a command. */
        const val FENCING_HEADER: String = "X-Fencing-Token"

        private const val ID_HEADER = "X-Request-Id"
        private val CONTENT_TYPE = Header("Content-Type", "application/json")
        private const val BAD_REQUEST = 400
        private const val NOT_FOUND = 404
        private const val CONFLICT = 409
    }
}
