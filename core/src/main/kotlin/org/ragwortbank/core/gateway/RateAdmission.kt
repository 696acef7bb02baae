package org.ragwortbank.core.gateway

import org.ragwortbank.core.admission.RateMargin
import org.ragwortbank.core.admission.ReturnPlan
import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.serving.Feature
import org.ragwortbank.core.tick.Timestamp

/** Admits [row] from its account's [bucket] if that has [margin], and refuses it otherwise. */
internal fun GatewayStep.admitWithinRate(
    row: RequestRow,
    bucket: FleetBucket,
    margin: RateMargin,
    now: Timestamp,
): GatewayStep {
    val account = row.account?.takeIf { bucket.admits(margin, now) } ?: return refuseOverRate(row, bucket, margin, now)
    return log(LogPart.ADMISSION, row.describeAdmission() + ", ${row.tokens} tokens, ${bucket.level.toLong()} left")
        .update { it.copy(buckets = it.buckets.put(account, bucket.consume(row.tokens))).put(row) }
}

internal fun RequestRow.describeAdmission(): String =
    "request ${call.id} of ${account ?: "nobody"} admitted on route ${route.name} to $service"

private fun GatewayStep.refuseOverRate(
    row: RequestRow,
    bucket: FleetBucket,
    margin: RateMargin,
    now: Timestamp,
): GatewayStep {
    val available = "${bucket.available(now).toLong()} of ${bucket.level.toLong()} available"
    val detail = "${row.account} requested ${row.tokens} tokens, $available${margin.describe()}"
    val wait = maxOf(bucket.timeUntilAdmitted(margin, now), bucket.returns.waitAt(now), MIN_RETRY_AFTER)
    val returns = plannedReturns(tables, row, bucket, now + wait)
    return refuseWithoutRow(row.number, row.call.id, Refusal.notRun(ResultCode.RATE_EXCEEDED, detail, wait))
        .update { it.planReturns(row.account, returns) }
}

private fun RateMargin.describe(): String {
    if (overdraftTokens <= 0) return ""
    return ", ${requiredTokens.toLong()} required with ${overdraftTokens.toLong()} in addition"
}

private fun plannedReturns(
    tables: GatewayTables,
    row: RequestRow,
    bucket: FleetBucket,
    returnsAt: Timestamp,
): ReturnPlan {
    if (Feature.PRESSURE !in tables.settings.features) return bucket.returns
    val ownShare = bucket.rate.toDouble() / tables.gatewayCount
    return bucket.returns.add(row.tokens, ownShare, returnsAt, limit = row.arrivedAt + tables.settings.rateWindow)
}

private fun GatewayTables.planReturns(account: AccountId?, returns: ReturnPlan): GatewayTables {
    val bucket = account?.let { buckets[it] }
    if (account == null || bucket == null || bucket.returns == returns) return this
    return copy(buckets = buckets.put(account, bucket.copy(returns = returns)))
}
