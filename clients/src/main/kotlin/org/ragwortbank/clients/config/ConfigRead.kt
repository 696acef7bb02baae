package org.ragwortbank.clients.config

import org.ragwortbank.core.model.Configuration

/** Outcome of reading the operators' tables. */
sealed interface ConfigRead {
    /** The tables as stored. */
    class Found internal constructor(
        val configuration: Configuration,
        internal val root: Root,
        internal val revision: Long,
    ) : ConfigRead

    /** The key-value service did not answer, or the stored tables are incomplete or malformed. */
    data class Unavailable(val cause: String) : ConfigRead
}
