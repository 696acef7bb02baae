package org.ragwortbank.node.link

import org.ragwortbank.node.wire.WireMessage

/** Hears of the links that other processes open. */
internal interface IncomingLinkListener {
    /** The process on instance [peer] opened link number [link]. */
    fun onOpened(link: Long, peer: String, connection: PeerConnection)

    /** A frame arrived; a frame that this process does not expect is answered with false and ends the link. */
    fun onMessage(link: Long, peer: String, message: WireMessage): Boolean

    /** The link ended. */
    fun onClosed(link: Long, peer: String)

    /** A connection ended that never introduced itself properly. */
    fun onHandshakeFailed()
}
