package org.ragwortbank.standins.instances

import io.netty.channel.EventLoopGroup
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.json.Json
import org.ragwortbank.clients.http.Address
import org.ragwortbank.clients.instances.InstanceDocument
import org.ragwortbank.clients.instances.InstancesDocument
import org.ragwortbank.standins.http.Responder
import org.ragwortbank.standins.http.StandInRequest
import org.ragwortbank.standins.http.StandInServer
import java.util.concurrent.atomic.AtomicReference

/**
 * Stands in for the instance list of the platform. `GET` returns the list with its version as the entity tag;
 * `PUT /instances/NAME` and `DELETE /instances/NAME` change it.
 */
class InstancesStandIn(group: EventLoopGroup) {
    private val server = StandInServer(group, ::handle)
    private val state = AtomicReference(VersionedInstances())

    /** Listens on [port], or on a free port if [port] is 0, and returns the address. */
    fun start(port: Int): Address = server.start(port)

    private fun handle(request: StandInRequest, responder: Responder) {
        val name = request.path.removePrefix("/instances").removePrefix("/")
        when (request.method) {
            "PUT" -> update(responder) { it.put(name, decodeInstance(request.body)) }
            "DELETE" -> update(responder) { it.remove(name) }
            else -> sendInstances(request, responder)
        }
    }

    private fun decodeInstance(json: String): InstanceDocument =
        Json.decodeFromString(InstanceDocument.serializer(), json)

    private fun update(
        responder: Responder,
        edit: (PersistentMap<String, InstanceDocument>) -> PersistentMap<String, InstanceDocument>,
    ) {
        state.updateAndGet { VersionedInstances(it.version + 1, edit(it.instances)) }
        responder.send(OK, "{}")
    }

    private fun sendInstances(request: StandInRequest, responder: Responder) {
        val current = state.get()
        val eTag = "\"${current.version}\""
        if (request.header("If-None-Match") == eTag) {
            responder.send(NOT_MODIFIED, "", eTag = eTag)
        } else {
            val document = InstancesDocument(current.instances.values.toList())
            responder.send(OK, Json.encodeToString(InstancesDocument.serializer(), document), eTag = eTag)
        }
    }

    private data class VersionedInstances(
        val version: Long = 0,
        val instances: PersistentMap<String, InstanceDocument> = persistentMapOf(),
    )

    private companion object {
        const val OK = 200
        const val NOT_MODIFIED = 304
    }
}
