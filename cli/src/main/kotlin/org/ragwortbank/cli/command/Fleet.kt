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

/** The processes on the instance list. */
internal class Fleet(private val client: HttpClient, address: Address) {
    private val list = HttpInstanceList(client, address, Platform.TIMEOUT)

    /** The state of each process; null when the list can't be read. A silent process has no version. */
    suspend fun states(): List<StatusDocument>? {
        val instances = list.read() ?: return null
        return coroutineScope { instances.map { async { state(it) } }.awaitAll() }
    }

    /** The states as soon as every entry has [version] in force, or after [patience]. */
    suspend fun await(version: Long, patience: Duration): List<StatusDocument>? {
        val begin = TimeSource.Monotonic.markNow()
        var states = states()
        while (!inForce(states, version) && begin.elapsedNow() < patience) {
            delay(POLL_INTERVAL)
            states = states()
        }
        return states
    }

    private fun inForce(states: List<StatusDocument>?, version: Long): Boolean =
        states != null && states.filter { it.role == "entry" }.all { (it.configVersion ?: 0) >= version }

    private suspend fun state(instance: Instance): StatusDocument {
        val address = Address.parse(instance.adminAddress)
        val reply = address?.let { client.fetch(it, HttpCall.get("/status"), Platform.TIMEOUT) }
        val document = (reply as? HttpReply.Answered)?.let { decode(it.text) }
        return document ?: silent(instance)
    }

    private fun silent(instance: Instance): StatusDocument =
        StatusDocument(
            name = instance.name.value,
            role = instance.role.name.lowercase(),
            requests = 0,
            stopping = instance.isLeaving,
        )

    private fun decode(text: String): StatusDocument? =
        try {
            Json.decodeFromString(StatusDocument.serializer(), text)
        } catch (_: SerializationException) {
            null
        }

    private companion object {
        val POLL_INTERVAL = 100.milliseconds
    }
}
