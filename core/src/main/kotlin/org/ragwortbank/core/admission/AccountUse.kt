package org.ragwortbank.core.admission

import org.ragwortbank.core.gateway.GatewayTables
import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.tick.Timestamp

/**
 * What [account] has used in the latest window over the whole fleet, divided by its rate, in seconds: its virtual time,
 * which larger accounts go through more slowly. 0 for an account without a limit.
 */
internal fun usedSeconds(tables: GatewayTables, account: AccountId, now: Timestamp): Double {
    val bucket = tables.buckets[account]?.takeIf { it.rate > 0 } ?: return 0.0
    return bucket.use.within(tables.settings.rateWindow, now) / bucket.rate
}
