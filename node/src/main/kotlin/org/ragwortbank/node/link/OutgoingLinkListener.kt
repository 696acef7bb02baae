package org.ragwortbank.node.link

import org.ragwortbank.node.wire.WireMessage

/** Is notified of the state and frames of a link that this process opens. */
internal interface OutgoingLinkListener {
    /** The link is open. */
    fun onOpened()

    /** A frame was received; returns false if this process does not expect it, which closes the link. */
    fun onMessage(message: WireMessage): Boolean

    /** The link was open and has closed. */
    fun onClosed()
}
