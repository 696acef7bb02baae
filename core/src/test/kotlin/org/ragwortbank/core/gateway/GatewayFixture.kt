package org.ragwortbank.core.gateway

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.ragwortbank.core.model.AccountId
import org.ragwortbank.core.model.FailureDomain
import org.ragwortbank.core.model.KeyHash
import org.ragwortbank.core.model.RouteName
import org.ragwortbank.core.result.Refusal
import org.ragwortbank.core.selection.UpstreamPolicy
import org.ragwortbank.core.selection.defaultUpstreamPolicy
import org.ragwortbank.core.serving.AdapterKey
import org.ragwortbank.core.serving.Endpoint
import org.ragwortbank.core.serving.EngineDigest
import org.ragwortbank.core.serving.EngineSpec
import org.ragwortbank.core.serving.ModelSpec
import org.ragwortbank.core.serving.RequestKind
import org.ragwortbank.core.serving.RequestNumber
import org.ragwortbank.core.serving.ServiceName
import org.ragwortbank.core.serving.ServiceSpec
import org.ragwortbank.core.serving.ServingAccount
import org.ragwortbank.core.serving.ServingCall
import org.ragwortbank.core.serving.ServingConfig
import org.ragwortbank.core.serving.ServingRoute
import org.ragwortbank.core.serving.StoreChange
import org.ragwortbank.core.serving.UpstreamId
import org.ragwortbank.core.serving.UpstreamRegistration
import org.ragwortbank.core.serving.WeightedService
import org.ragwortbank.core.tick.Tick
import org.ragwortbank.core.tick.Timestamp
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A gateway in virtual time with two engines, two plain upstreams and one client account. */
internal class GatewayFixture(
    isFirstStart: Boolean = true,
    readsStore: Boolean = true,
    policy: UpstreamPolicy = defaultUpstreamPolicy(),
) {
    private val schedule = gatewaySchedule(policy)
    private var lastNumber = 0L

    var now = Timestamp(0) + 100.seconds
        private set
    var tables = GatewayTables(GatewayIdentity("entry-1", 1, isFirstStart), startedAt = now)
        private set
    var effects: List<GatewayEffect> = emptyList()
        private set

    init {
        if (readsStore) tick(GatewayInput.StoreRead(storeContents(), now))
        tables.upstreams.keys.filter { it.value.startsWith("engine") }.forEach { receiveEngineDigest(it) }
    }

    fun storeContents() = (listOf(StoreChange.ConfigSet(config())) + upstreams()).toPersistentList()

    fun tick(vararg inputs: GatewayInput) {
        val step = schedule.run(Tick(now, inputs.toList().toPersistentList()), tables)
        tables = step.tables
        effects = step.effects
    }

    /** Advances the time by [time] with a tick every [INTERVAL]; [effects] are those of all these ticks. */
    fun advance(time: Duration, vararg inputs: GatewayInput) {
        val end = now + time
        var allEffects = emptyList<GatewayEffect>()
        while (end - now > INTERVAL) {
            now += INTERVAL
            tick()
            allEffects = allEffects + effects
        }
        now = end
        tick(*inputs)
        effects = allEffects + effects
    }

    /** Advances the time by [time] without a tick, as if the process were suspended. */
    fun suspendFor(time: Duration, vararg inputs: GatewayInput) {
        now += time
        tick(*inputs)
    }

    fun confirmConfiguration() = tick(GatewayInput.StoreChanged(persistentListOf(), now, tables.storePosition))

    fun applyChanges(vararg changes: StoreChange) =
        tick(GatewayInput.StoreChanged(changes.toList().toPersistentList(), now, tables.storePosition))

    fun receiveEngineDigest(engine: UpstreamId, resident: Map<String, Long> = mapOf("a1" to 1), freeSlots: Int = 3) =
        tick(GatewayInput.EngineDigestReceived(digest(engine, resident).copy(freeSlots = freeSlots)))

    fun receiveCall(path: String, call: ServingCall = call(path)): RequestNumber {
        val number = RequestNumber(++lastNumber)
        tick(GatewayInput.CallArrived(number, call))
        return number
    }

    fun sentAttempts(): List<UpstreamAttempt> = effects.filterIsInstance<GatewayEffect.Send>().map { it.attempt }

    fun refusals(): List<Refusal> = effects.mapNotNull { effect ->
        when (effect) {
            is GatewayEffect.Refuse -> effect.refusal
            is GatewayEffect.AbortAnswer -> effect.refusal
            else -> null
        }
    }

    fun call(path: String, adapter: String? = null, tokens: Long? = null, key: String = "key") = ServingCall(
        id = "id-$lastNumber",
        host = "host",
        path = path,
        key = KeyHash(key),
        callerTimeout = 10.seconds,
        model = adapter?.let { MODEL },
        adapter = adapter,
        tokens = tokens,
    )

    fun config(version: Long = 1, rate: Long = 1_000, keys: List<String> = listOf("key")): ServingConfig {
        val account = ServingAccount(
            AccountId("club"),
            priority = 1,
            tokensPerSecond = rate,
            burstTokens = rate,
            defaultRequestTokens = 10,
        )
        val models = persistentMapOf(MODEL to ModelSpec(MODEL, weightsMegabytes = 70.0, adapterMegabytes = 1.0))
        val engine = EngineSpec(models, memoryMegabytes = 76.0, adapterSlots = 4)
        return ServingConfig(
            version = version,
            routes = persistentMapOf("host" to routes().toPersistentList()),
            services = persistentMapOf(
                ENGINES to ServiceSpec(ENGINES, engine),
                DESK to ServiceSpec(DESK, engine = null),
            ),
            accounts = persistentMapOf(account.id to account),
            accountsByKey = keys.associate { KeyHash(it) to account.id }.toPersistentMap(),
        )
    }

    fun registration(
        id: String,
        service: ServiceName,
        accepting: Boolean = true,
        startedMillis: Long = 1,
    ) = UpstreamRegistration(
        id = UpstreamId(id),
        service = service,
        endpoint = Endpoint("10.0.0.${id.last()}", 80),
        domain = FailureDomain("zone"),
        slots = 4,
        isAccepting = accepting,
        startedMillis = startedMillis,
        residentModels = if (service == ENGINES) persistentSetOf(MODEL) else persistentSetOf(),
        resident = persistentMapOf(),
    )

    private fun digest(engine: UpstreamId, resident: Map<String, Long>) = EngineDigest(
        upstream = engine,
        incarnation = 1,
        number = ++lastNumber,
        resident = resident.mapKeys { AdapterKey(MODEL, it.key) }.toPersistentMap(),
        residentModels = persistentSetOf(MODEL),
    )

    private fun upstreams(): List<StoreChange> =
        listOf("engine-1", "engine-2").map { StoreChange.UpstreamRegistered(registration(it, ENGINES)) } +
            listOf("desk-1", "desk-2").map { StoreChange.UpstreamRegistered(registration(it, DESK)) }

    private fun routes(): List<ServingRoute> = listOf(
        route("/chat/", RequestKind.STREAM, ENGINES),
        route("/resume/", RequestKind.STREAM, ENGINES, resumable = true, attempts = 2),
        route("/book/", RequestKind.NON_IDEMPOTENT, DESK),
        route("/look/", RequestKind.IDEMPOTENT, DESK, attempts = 2),
        route("/open/", RequestKind.IDEMPOTENT, DESK).copy(isPublic = true),
    )

    private fun route(
        prefix: String,
        kind: RequestKind,
        service: ServiceName,
        resumable: Boolean = false,
        attempts: Int = 1,
    ) = ServingRoute(
        name = RouteName(prefix.trim('/')),
        host = "host",
        prefix = prefix,
        kind = kind,
        isResumable = resumable,
        targets = persistentListOf(WeightedService(service, 1)),
        timeout = 5.seconds,
        targetLatency = 500.milliseconds,
        maxAttempts = attempts,
        priority = 0,
        isPublic = false,
    )

    companion object {
        const val MODEL = "base"
        val INTERVAL = 50.milliseconds
        val ENGINES = ServiceName("engines")
        val DESK = ServiceName("desk")
    }
}
