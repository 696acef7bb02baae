package org.ragwortbank.node.entry

import io.ktor.network.selector.SelectorManager
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import org.ragwortbank.clients.http.Address
import org.ragwortbank.core.entry.EntryInput
import org.ragwortbank.core.model.Instance
import org.ragwortbank.core.model.InstanceName
import org.ragwortbank.core.model.InstanceRole
import org.ragwortbank.node.link.OutgoingLinkListener
import org.ragwortbank.node.link.PeerDialer
import org.ragwortbank.node.log.Logs
import org.ragwortbank.node.wire.PROTOCOL_VERSION
import org.ragwortbank.node.wire.WireMessage
import org.ragwortbank.node.wire.toReport

/** The links that an entry opens to sidecars and to other entries; used by the tick thread only. */
internal class EntryLinks(
    private val scope: CoroutineScope,
    private val selector: SelectorManager,
    private val self: InstanceName,
    private val post: (EntryInput) -> Unit,
) {
    private var links: PersistentMap<InstanceName, OpenLink> = persistentMapOf()

    /** Opens and closes links so that there is one to each of [instances] and no other. */
    fun reconcile(instances: PersistentSet<Instance>) {
        val wantedAddresses = instances.associate { it.name to it.peerAddress }
        val obsoleteLinks = links.filter { (name, link) -> wantedAddresses[name] != link.address }
        obsoleteLinks.values.forEach { it.job.cancel() }
        links = obsoleteLinks.keys.fold(links) { remaining, name -> remaining.remove(name) }
        links = instances.filter { it.name !in links }.fold(links) { openLinks, instance -> open(openLinks, instance) }
    }

    /** Sends [message] to [destination], if there is an open link. */
    fun send(destination: InstanceName, message: WireMessage) {
        links[destination]?.dialer?.send(message)
    }

    private fun open(
        openLinks: PersistentMap<InstanceName, OpenLink>,
        instance: Instance,
    ): PersistentMap<InstanceName, OpenLink> {
        val address = Address.parse(instance.peerAddress)
        if (address == null) {
            Logs.links.warn(
                "instance {} has an invalid peer address: expected HOST:PORT, found '{}'",
                instance.name,
                instance.peerAddress,
            )
            return openLinks
        }
        val hello = WireMessage.Hello(PROTOCOL_VERSION, "entry", self.value)
        val dialer = PeerDialer(selector, address, hello, PeerLinkListener(instance))
        return openLinks.put(instance.name, OpenLink(instance.peerAddress, dialer, dialer.start(scope)))
    }

    private data class OpenLink(val address: String, val dialer: PeerDialer, val job: Job)

    private inner class PeerLinkListener(private val instance: Instance) : OutgoingLinkListener {
        override fun onOpened() = post(EntryInput.LinkOpened(instance.name))

        override fun onMessage(message: WireMessage): Boolean {
            val report = if (instance.role == InstanceRole.SIDECAR) message.toReport() else null
            if (report != null) post(EntryInput.SidecarReportReceived(instance.name, report))
            return report != null
        }

        override fun onClosed() = post(EntryInput.LinkClosed(instance.name))
    }
}
