package org.ragwortbank.core.sidecar

/** Identifies a connection of an entry to a sidecar; a reconnected entry gets a new one. */
@JvmInline
value class LinkId(val number: Long) {
    override fun toString(): String = "link-$number"
}
