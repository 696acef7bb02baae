package org.ragwortbank.clients.kv

import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.ragwortbank.clients.http.Address
import org.ragwortbank.clients.http.HttpCall
import org.ragwortbank.clients.http.HttpClient
import org.ragwortbank.clients.http.HttpReply
import org.ragwortbank.clients.http.fetch
import kotlin.time.Duration

/**
 * Client of the key-value service over the JSON gateway of the etcd v3 protocol.
 *
 * Its answers don't name the call that they belong to, so each call has a connection of its own.
 */
class EtcdKeyValueStore(
    private val client: HttpClient,
    private val address: Address,
    private val timeout: Duration,
) : KeyValueStore {
    override suspend fun read(keys: List<String>): KvResult<Map<String, KvEntry>> {
        val operations = keys.map { RequestOp(range = RangeRequest(it.encodeBase64())) }
        val response = execute(TxnRequest(success = operations))
        return response.map { txn -> txn.responses.flatMap { it.range?.kvs.orEmpty() }.associate(::entryOf) }
    }

    override suspend fun write(
        conditions: List<KvCondition>,
        puts: List<KvPut>,
        deletes: List<String>,
    ): KvResult<Boolean> {
        val compares = conditions.map { Compare(key = it.key.encodeBase64(), revision = it.revision.toString()) }
        val writes = puts.map { RequestOp(put = PutRequest(it.key.encodeBase64(), it.value.encodeBase64())) }
        val removals = deletes.map { RequestOp(delete = DeleteRequest(it.encodeBase64())) }
        return execute(TxnRequest(compares, writes + removals)).map { it.succeeded }
    }

    override fun watch(prefix: String, listener: KvWatchListener): AutoCloseable {
        val body = EtcdJson.encodeToString(WatchRequest.serializer(), WatchRequest(WatchCreate.withPrefix(prefix)))
        return client.open(address, call("/v3/watch", body), EtcdWatch(listener))
    }

    private fun call(path: String, body: String): HttpCall = HttpCall.json(path, body, needsNewConnection = true)

    private suspend fun execute(txn: TxnRequest): KvResult<TxnResponse> {
        val body = EtcdJson.encodeToString(TxnRequest.serializer(), txn)
        return when (val reply = client.fetch(address, call("/v3/kv/txn", body), timeout)) {
            is HttpReply.Failed -> KvResult.Unanswered(reply.cause)
            is HttpReply.Answered -> decode(reply, TxnResponse.serializer())
        }
    }

    private fun <T> decode(reply: HttpReply.Answered, serializer: KSerializer<T>): KvResult<T> =
        when {
            !reply.isSuccess -> KvResult.Unanswered("status ${reply.status}")
            else -> parse(reply.text, serializer)
        }

    private fun <T> parse(text: String, serializer: KSerializer<T>): KvResult<T> =
        try {
            KvResult.Answered(EtcdJson.decodeFromString(serializer, text))
        } catch (e: SerializationException) {
            KvResult.Unanswered("malformed response: ${e.message}")
        }

    private fun entryOf(pair: KeyValue): Pair<String, KvEntry> =
        pair.key.decodeBase64() to KvEntry(pair.value.decodeBase64(), pair.modRevision.toLong())

    private fun <T, R> KvResult<T>.map(transform: (T) -> R): KvResult<R> =
        when (this) {
            is KvResult.Answered -> KvResult.Answered(transform(value))
            is KvResult.Unanswered -> this
        }
}

/** JSON as the gateway writes it: 64-bit numbers are strings and default values are omitted. */
internal val EtcdJson: Json = Json {
    ignoreUnknownKeys = true
    explicitNulls = false
    encodeDefaults = false
}
