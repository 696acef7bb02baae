package org.ragwortbank.core.versions

import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentSet
import org.ragwortbank.core.gateway.AnswerFacts
import org.ragwortbank.core.gateway.GatewayEffect
import org.ragwortbank.core.gateway.GatewayFixture
import org.ragwortbank.core.gateway.GatewayInput
import org.ragwortbank.core.gateway.RequestRow
import org.ragwortbank.core.gateway.UpstreamAttempt
import org.ragwortbank.core.serving.RequestNumber
import org.ragwortbank.core.serving.SoftwareVersion
import org.ragwortbank.core.serving.StoreChange
import org.ragwortbank.core.serving.StorePosition
import org.ragwortbank.core.serving.StreamId
import org.ragwortbank.core.serving.StreamResumption
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A gateway with two engines that state the versions [first] and [second], and a store that it reads when told to. */
internal class VersionFixture(first: String? = OLD, second: String? = NEW) {
    val gateway = GatewayFixture()
    private var lastId = 0

    init {
        gateway.applyChanges(engine("engine-1", first), engine("engine-2", second))
    }

    fun engine(id: String, version: String?, accepting: Boolean = true, startedMillis: Long = 1) =
        StoreChange.UpstreamRegistered(
            gateway.registration(id, GatewayFixture.ENGINES, accepting, startedMillis)
                .copy(version = version?.let(::SoftwareVersion)),
        )

    fun versions(base: String, vararg admitted: String, revision: Long = 1, completeEra: Long = 0) =
        StoreChange.VersionsSet(
            GatewayFixture.ENGINES,
            versionsOf(base, *admitted).copy(completeEra = completeEra),
            revision,
        )

    fun versionsOf(base: String, vararg admitted: String) =
        ServiceVersions(SoftwareVersion(base), admitted.map(::SoftwareVersion).toPersistentSet())

    fun record(version: String, vararg streams: String, gateway: String = "entry-2", number: Long = 1) =
        StoreChange.StreamsRecorded(
            StreamRecord(
                key = StreamRecordKey(gateway, incarnation = 1, number),
                service = GatewayFixture.ENGINES,
                version = SoftwareVersion(version),
                streams = streams.map(::StreamId).toPersistentSet(),
            ),
        )

    /** Applies [changes] as read by a request made [ago] before now. */
    fun read(vararg changes: StoreChange, ago: Duration = Duration.ZERO) =
        gateway.tick(GatewayInput.StoreChanged(changes.toList().toPersistentList(), gateway.now - ago))

    /** Applies [changes] as all that the store has, in its [era], beside its configuration. */
    fun readWhole(vararg changes: StoreChange, era: Long = 0) =
        gateway.tick(
            GatewayInput.StoreRead(
                (listOf(StoreChange.ConfigSet(gateway.config())) + changes).toPersistentList(),
                gateway.now,
                StorePosition(era, revision = 1),
            ),
        )

    /** Advances the time by [time], reads the store every half a second, and returns the versions it is asked for. */
    fun advanceReading(time: Duration): List<ServiceVersions> {
        val end = gateway.now + time
        var saved = emptyList<ServiceVersions>()
        while (gateway.now < end) {
            gateway.advance(minOf(READ_INTERVAL, end - gateway.now))
            saved = saved + savedVersions().map { it.versions }
            read()
            saved = saved + savedVersions().map { it.versions }
        }
        return saved
    }

    /** Receives a request that begins a stream. */
    fun begin(): RequestNumber = receive(null)

    /** Receives a request that takes up [stream]; null for one that doesn't name it. */
    fun takeUp(stream: String?): RequestNumber = receive(StreamResumption(stream?.let(::StreamId)))

    fun sentTo(): List<String> = gateway.sentAttempts().map { it.upstream.value }

    fun refreshes(): Int = gateway.effects.count { it is GatewayEffect.RefreshStore }

    fun savedRecords(): List<StreamRecord> =
        gateway.effects.filterIsInstance<GatewayEffect.SaveStreamRecord>().flatMap { listOf(it.record) + it.beside }

    fun savedVersions(): List<GatewayEffect.SaveVersions> =
        gateway.effects.filterIsInstance<GatewayEffect.SaveVersions>()

    fun relays(): List<RequestNumber> = gateway.effects.filterIsInstance<GatewayEffect.Relay>().map { it.number }

    fun row(number: RequestNumber): RequestRow? = gateway.tables.requests[number]

    /** The head of a successful answer to [attempt]. */
    fun head(attempt: UpstreamAttempt) =
        GatewayInput.AnswerHeadReceived(attempt.number, attempt.attemptNumber, AnswerFacts(OK, notRun = false, null))

    private fun receive(resumption: StreamResumption?): RequestNumber {
        val call = gateway.call(PATH).copy(id = "request-${++lastId}", resumption = resumption)
        return gateway.receiveCall(PATH, call)
    }

    companion object {
        const val OLD = "old"
        const val NEW = "new"
        private const val PATH = "/resume/x"
        private const val OK = 200
        private val READ_INTERVAL = 500.milliseconds

        /** Time after which streams begin at a version whose admission was read. */
        val OPENING = 4.seconds
    }
}
