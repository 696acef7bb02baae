package org.ragwortbank.core.gateway

import kotlinx.collections.immutable.toPersistentList
import org.ragwortbank.core.hash.RendezvousHash
import org.ragwortbank.core.log.LogPart
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.core.result.ResultCode
import org.ragwortbank.core.serving.RequestNumber
import org.ragwortbank.core.serving.ServiceName
import org.ragwortbank.core.serving.ServingAccount
import org.ragwortbank.core.serving.ServingCall
import org.ragwortbank.core.serving.ServingConfig
import org.ragwortbank.core.serving.ServingRoute
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.TickSystem
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Decides whether a request may run: its route, its key, its account's rate. */
class ArrivalSystem : TickSystem<GatewayTables, GatewayInput, GatewayEffect> {
    override fun run(tick: Tick<GatewayInput>, step: GatewayStep): GatewayStep =
        tick.inputs.fold(readUnread(step, tick.now)) { s, input ->
            when (input) {
                is GatewayInput.CallArrived -> receive(s, UnreadCall(input.number, input.call, tick.now))
                is GatewayInput.CallerGone -> s.update { it.copy(unread = it.unread.removeAll { c -> c.number == input.number }) }
                else -> s
            }
        }

    /** A process that has just started has its first configuration within a fraction of a second. */
    private fun receive(step: GatewayStep, unread: UnreadCall): GatewayStep =
        when (step.tables.config) {
            null -> step.update { it.copy(unread = it.unread.add(unread)) }
            else -> arrive(step, unread.number, unread.call, unread.at)
        }

    private fun readUnread(step: GatewayStep, now: Timestamp): GatewayStep {
        val known = step.tables.config != null
        val (due, waiting) = step.tables.unread.partition { known || now - it.at > CONFIG_PATIENCE }
        if (due.isEmpty()) return step
        return due.fold(step) { s, call -> arrive(s, call.number, call.call, now) }
            .update { it.copy(unread = waiting.toPersistentList()) }
    }

    private fun arrive(step: GatewayStep, number: RequestNumber, call: ServingCall, now: Timestamp): GatewayStep =
        when (val ruling = rule(step.tables, call, now)) {
            is Ruling.No -> step.refuseNew(number, call.id, ruling.refusal)
            is Ruling.Yes -> admit(step, row(number, call, ruling, now), ruling.account, now)
        }

    private fun rule(tables: GatewayTables, call: ServingCall, now: Timestamp): Ruling {
        val config = tables.config
        val route = config?.route(call.host, call.path)
        val service = route?.targetFor(RendezvousHash.seed(call.id).toInt())
        return when {
            config == null -> no(ResultCode.NO_CONFIGURATION, "none has been read yet", SOON)
            route == null -> no(ResultCode.ROUTE_UNKNOWN, "no route for ${call.host}${call.path} in ${config.version}")
            service == null -> no(ResultCode.NO_UPSTREAM, "route ${route.name} has no service", SOON)
            route.public || !config.usesKeys -> Ruling.Yes(route, service, null)
            else -> ruleKey(tables, config, call, Ruling.Yes(route, service, null), now)
        }
    }

    private fun ruleKey(
        tables: GatewayTables,
        config: ServingConfig,
        call: ServingCall,
        ruling: Ruling.Yes,
        now: Timestamp,
    ): Ruling {
        val account = call.key?.let { config.keys[it] }?.let { config.accounts[it] }
        return when {
            !tables.hasKeyAuthority(now) ->
                no(ResultCode.KEYS_UNCONFIRMED, "last confirmed ${tables.confirmedAgo(now)} ago", SOON)
            call.key == null -> no(ResultCode.KEY_MISSING)
            account == null -> no(ResultCode.KEY_UNKNOWN, "not in configuration ${config.version}")
            else -> ruling.copy(account = account)
        }
    }

    private fun row(number: RequestNumber, call: ServingCall, ruling: Ruling.Yes, now: Timestamp): RequestRow {
        val patience = minOf(call.deadline ?: ruling.route.timeout, ruling.route.timeout)
        val resumes = ruling.route.resumable && call.resumesStream
        return RequestRow(
            number = number,
            call = if (resumes == call.resumesStream) call else call.copy(resumesStream = false),
            route = ruling.route,
            service = ruling.service,
            account = ruling.account?.id,
            priority = ruling.account?.priority ?: ruling.route.priority,
            tokens = tokensOf(call, ruling.account),
            arrivedAt = now,
            endsBy = now + patience,
        )
    }

    private fun tokensOf(call: ServingCall, account: ServingAccount?): Long =
        if (account == null || !account.limited) 0 else call.tokens ?: account.plainTokens

    private fun admit(step: GatewayStep, row: RequestRow, account: ServingAccount?, now: Timestamp): GatewayStep {
        val tables = step.tables
        val bucket = account?.let { tables.buckets[it.id] }?.refill(now, tables.silentPeers(now), tables.entryCount)
        return when {
            tables.stoppingSince?.let { now - it > tables.settings.drainGrace } == true ->
                step.refuseNew(row.number, row.call.id, Refusal.notRun(ResultCode.DRAINING, retryAfter = SOON))
            account == null || bucket == null -> step.log(LogPart.ADMISSION, admitted(row)).update { it.put(row) }
            bucket.admits(row.tokens) ->
                step
                    .log(LogPart.ADMISSION, admitted(row) + ", ${row.tokens} tokens, ${bucket.level.toLong()} left")
                    .update { it.copy(buckets = it.buckets.put(account.id, bucket.take(row.tokens))).put(row) }
            else -> overRate(step, row, bucket)
        }
    }

    private fun admitted(row: RequestRow): String =
        "request ${row.call.id} of ${row.account ?: "nobody"} admitted on route ${row.route.name} to ${row.service}"

    private fun overRate(step: GatewayStep, row: RequestRow, bucket: FleetBucket): GatewayStep {
        val detail = "${row.account} asked for ${row.tokens} tokens, ${bucket.level.toLong()} left"
        val wait = bucket.waitFor(row.tokens).coerceAtLeast(SOON)
        return step.refuseNew(row.number, row.call.id, Refusal.notRun(ResultCode.RATE_EXCEEDED, detail, wait))
    }

    private fun no(code: ResultCode, detail: String = code.meaning, retryAfter: Duration? = null): Ruling =
        Ruling.No(Refusal.notRun(code, detail, retryAfter))

    private sealed interface Ruling {
        data class Yes(val route: ServingRoute, val service: ServiceName, val account: ServingAccount?) : Ruling

        data class No(val refusal: Refusal) : Ruling
    }

    private companion object {
        val SOON = 300.milliseconds
        val CONFIG_PATIENCE = 1.seconds
    }
}

/** How long ago the store confirmed the configuration. */
internal fun GatewayTables.confirmedAgo(now: Timestamp): Duration = confirmedAt?.let { now - it } ?: NEVER

/** Whether keys may be accepted: the store has confirmed lately that the configuration is the newest. */
internal fun GatewayTables.hasKeyAuthority(now: Timestamp): Boolean = confirmedAgo(now) <= settings.keyAuthority

/** Listed entries that have sent no digest for too long. */
internal fun GatewayTables.silentPeers(now: Timestamp): List<String> =
    peers.values
        .filter { it.listed && now - (it.heardAt ?: it.seenAt) > settings.peerSilence }
        .map { it.name }

private val NEVER: Duration = 1_000_000.seconds
