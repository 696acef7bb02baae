package org.ragwortbank.core.crash

import org.ragwortbank.core.tick.Timestamp

/**
 * A trait whose requests are refused, because upstreams crash of them.
 *
 * @property since when this process learned of it
 * @property isOwn whether this process found it
 * @property isStored whether the platform's store has it, so that all gateways learn of it and operators can lift it
 * @property savedAt when this process last asked the store to keep it
 */
data class BlockRow(
    val trait: CrashTrait,
    val since: Timestamp,
    val isOwn: Boolean = false,
    val isStored: Boolean = false,
    val savedAt: Timestamp? = null,
)
