package org.ragwortbank.clients.config

import kotlinx.collections.immutable.ImmutableList
import org.ragwortbank.core.config.ConfigProblem
import org.ragwortbank.core.model.Configuration

/** Outcome of changing the operators' tables. */
sealed interface ConfigWrite {
    /** The change is stored; [configuration] is the new version. */
    data class Stored(val configuration: Configuration) : ConfigWrite

    /** Another operator has changed the tables since version [base]; nothing was stored. */
    data class Conflict(val base: Long, val present: Long?) : ConfigWrite

    /** The tables would have [problems]; nothing was stored. */
    data class Invalid(val problems: ImmutableList<ConfigProblem>) : ConfigWrite

    /** The key-value service did not answer; nothing was stored. */
    data class Unavailable(val cause: String) : ConfigWrite

    /** The key-value service did not answer after the write was sent; it may have been stored. */
    data class Unknown(val cause: String) : ConfigWrite
}
