package org.ragwortbank.standins.drill

import org.ragwortbank.standins.prepared.StoreSnapshot
import kotlin.time.Duration

/**
 * A copy of the store's [content].
 *
 * @property at when it was made, since the start of the drill
 * @property version newest version of the configuration in it
 */
data class StoreCopy(val at: Duration, val version: Long, val content: StoreSnapshot)
