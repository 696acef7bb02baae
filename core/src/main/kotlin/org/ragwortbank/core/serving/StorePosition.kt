package org.ragwortbank.core.serving

/**
 * How far the contents of the platform's store have been read. Revisions are compared within one era only: in a new one
 * the store has come back from an older copy and gives the same revisions out again.
 *
 * @property era rises each time the store comes back from an older copy; 0 while it hasn't been named
 * @property revision rises with each change of the store
 */
data class StorePosition(
    val era: Long,
    val revision: Long,
) {
    override fun toString(): String = "era $era revision $revision"

    companion object {
        /** Before any answer of the store. */
        val NONE = StorePosition(0, 0)
    }
}
