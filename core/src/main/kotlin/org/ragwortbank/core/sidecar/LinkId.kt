package org.ragwortbank.core.sidecar

/** One connection of an entry to a sidecar; an entry that connects again gets another. */
@JvmInline
value class LinkId(val number: Long) {
    override fun toString(): String = "link-$number"
}
