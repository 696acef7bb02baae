package org.ragwortbank.node.link

import org.ragwortbank.node.wire.WireMessage

/** Is notified of the state and frames of links that other processes open. */
internal interface IncomingLinkListener {
    /** The process on instance [peer] opened link number [link]. */
    fun onOpened(link: Long, peer: String, connection: PeerConnection)

    /** A frame was received; returns false if this process does not expect it, which closes the link. */
    fun onMessage(link: Long, peer: String, message: WireMessage): Boolean

    /** The link closed. */
    fun onClosed(link: Long, peer: String)

    /** A connection closed before it had sent a hello of the supported protocol version. */
    fun onHandshakeFailed()
}
