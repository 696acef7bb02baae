package org.ragwortbank.node.link

import org.ragwortbank.node.wire.WireMessage

/** Hears of a link that this process opens. */
internal interface OutgoingLinkListener {
    /** The link is open. */
    fun onOpened()

    /** A frame arrived; a frame that this process does not expect is answered with false and ends the link. */
    fun onMessage(message: WireMessage): Boolean

    /** The link, once open, is lost. */
    fun onClosed()
}
