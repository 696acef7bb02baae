package org.ragwortbank.cli.command

import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.ragwortbank.clients.http.Address
import org.ragwortbank.clients.http.HttpCall
import org.ragwortbank.clients.http.HttpClient
import org.ragwortbank.clients.http.HttpReply
import org.ragwortbank.clients.http.fetch
import org.ragwortbank.clients.instances.HttpInstanceList
import org.ragwortbank.core.model.Instance
import org.ragwortbank.node.admin.StatusDocument
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** Reads the status of each process on the platform's instance list at [address]. */
internal class InstanceStatusReader(private val client: HttpClient, address: Address) {
    private val instanceList = HttpInstanceList(client, address, PlatformClients.CALL_TIMEOUT)

    /** The status of each process; null if the list can't be read. An unresponsive process has no version. */
    suspend fun readStatuses(): List<StatusDocument>? {
        val instances = instanceList.read() ?: return null
        return coroutineScope { instances.map { async { readStatus(it) } }.awaitAll() }
    }

    /** The statuses once every entry has [version] in force, or the latest ones after [timeout]. */
    suspend fun awaitVersion(version: Long, timeout: Duration): List<StatusDocument>? {
        val startedAt = TimeSource.Monotonic.markNow()
        var statuses = readStatuses()
        while (!isInForceOnEntries(statuses, version) && startedAt.elapsedNow() < timeout) {
            delay(POLL_INTERVAL)
            statuses = readStatuses()
        }
        return statuses
    }

    private fun isInForceOnEntries(statuses: List<StatusDocument>?, version: Long): Boolean =
        statuses != null && statuses.filter { it.role == "entry" }.all { (it.configVersion ?: 0) >= version }

    private suspend fun readStatus(instance: Instance): StatusDocument {
        val address = Address.parse(instance.adminAddress)
        val reply = address?.let { client.fetch(it, HttpCall.get("/status"), PlatformClients.CALL_TIMEOUT) }
        val document = (reply as? HttpReply.Answered)?.let { decodeStatus(it.text) }
        return document ?: unresponsiveStatus(instance)
    }

    private fun unresponsiveStatus(instance: Instance): StatusDocument =
        StatusDocument(
            name = instance.name.value,
            role = instance.role.name.lowercase(),
            requests = 0,
            stopping = instance.isLeaving,
        )

    private fun decodeStatus(text: String): StatusDocument? =
        try {
            Json.decodeFromString(StatusDocument.serializer(), text)
        } catch (_: SerializationException) {
            null
        }

    private companion object {
        val POLL_INTERVAL = 100.milliseconds
    }
}
