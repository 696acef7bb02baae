package org.ragwortbank.experiments.limits

import org.ragwortbank.core.model.Account
import org.ragwortbank.core.model.InstanceName
import org.ragwortbank.experiments.fleet.FleetEvent
import org.ragwortbank.experiments.fleet.ScheduledEvent
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Generates faults of each kind; [random] selects the affected entries and the durations. */
internal class FaultGenerator(private val scenario: LimitScenario, private val random: Random) {
    /** One generator per kind of fault; it makes the events of a fault from the fault number and the start offset. */
    val faultKinds: List<(Int, Duration) -> List<ScheduledEvent>> = listOf(
        { faultNumber, offset -> crashAndReplace(faultNumber, offset, isHostLost = random.nextBoolean()) },
        { _, offset -> listOf(ScheduledEvent(offset, FleetEvent.Suspend(randomEntryAddress(), randomDuration()))) },
        ::suspendAndReplace,
        ::isolateAndReplace,
        { _, offset ->
            val cut = FleetEvent.PartitionPair(randomEntryAddress(), randomEntryAddress(), randomDuration())
            listOf(ScheduledEvent(offset, cut))
        },
        { _, offset -> listOf(ScheduledEvent(offset, FleetEvent.StoreOutage(randomDuration() * 2))) },
        { _, offset -> listOf(ScheduledEvent(offset, FleetEvent.StoreResponseLoss(randomDuration()))) },
        { _, offset -> listOf(ScheduledEvent(offset, FleetEvent.InstanceListOutage(randomDuration()))) },
        { _, offset -> removeFromListTemporarily(offset) },
        { _, offset -> listOf(ScheduledEvent(offset, FleetEvent.ChangeAgreement(randomAgreement()))) },
        ::startNewAndStopOther,
        { faultNumber, offset ->
            LimitScenario.startEvents(InstanceName("extra-$faultNumber"), "extra-$faultNumber:1", offset)
        },
    )

    /** An entry crashes, and a new process starts under its name. */
    fun crashAndReplace(faultNumber: Int, offset: Duration, isHostLost: Boolean): List<ScheduledEvent> {
        val name = randomEntryName()
        return listOf(
            ScheduledEvent(offset, FleetEvent.Crash(name, isHostLost)),
            ScheduledEvent(offset + randomDetectionDelay(), FleetEvent.RemoveFromInstanceList(name)),
        ) + LimitScenario.startEvents(name, "$name:r$faultNumber", offset + randomDetectionDelay() + RESTART_DELAY)
    }

    /** The platform takes a suspended process for dead and replaces it; the suspended process resumes later. */
    private fun suspendAndReplace(faultNumber: Int, offset: Duration): List<ScheduledEvent> {
        val name = randomEntryName()
        return listOf(
            ScheduledEvent(offset, FleetEvent.Suspend("$name:1", randomDuration())),
            ScheduledEvent(offset + randomDetectionDelay(), FleetEvent.RemoveFromInstanceList(name)),
        ) + LimitScenario.startEvents(name, "$name:f$faultNumber", offset + randomDetectionDelay() + RESTART_DELAY)
    }

    /** The platform loses contact with a running process and starts a replacement under the same name. */
    private fun isolateAndReplace(faultNumber: Int, offset: Duration): List<ScheduledEvent> {
        val name = randomEntryName()
        return listOf(
            ScheduledEvent(offset, FleetEvent.Isolate("$name:1", randomDuration() * 2)),
            ScheduledEvent(offset + randomDetectionDelay(), FleetEvent.RemoveFromInstanceList(name)),
        ) + LimitScenario.startEvents(name, "$name:i$faultNumber", offset + randomDetectionDelay() + RESTART_DELAY)
    }

    private fun removeFromListTemporarily(offset: Duration): List<ScheduledEvent> {
        val name = randomEntryName()
        val instance = FleetInstances.entry(name, "$name:1")
        return listOf(
            ScheduledEvent(offset, FleetEvent.RemoveFromInstanceList(name)),
            ScheduledEvent(offset + randomDuration(), FleetEvent.AddToInstanceList(instance)),
        )
    }

    private fun startNewAndStopOther(faultNumber: Int, offset: Duration): List<ScheduledEvent> {
        val startEvents = LimitScenario.startEvents(InstanceName("new-$faultNumber"), "new-$faultNumber:1", offset)
        return startEvents + ScheduledEvent(offset + RESTART_DELAY, FleetEvent.RequestStop(randomEntryAddress()))
    }

    private fun randomAgreement(): Account {
        val account = scenario.account
        val percent = random.nextLong(MIN_PERCENT, MAX_PERCENT)
        return account.copy(
            rate = account.rate * percent / FULL_PERCENT,
            burst = account.burst * percent / FULL_PERCENT,
        )
    }

    private fun randomEntryName(): InstanceName = InstanceName("entry-${random.nextInt(scenario.entryCount) + 1}")

    private fun randomEntryAddress(): String = "${randomEntryName()}:1"

    private fun randomDuration(): Duration = random.nextInt(MAX_DURATION_MILLIS).milliseconds

    private fun randomDetectionDelay(): Duration = random.nextInt(MAX_DETECTION_DELAY_MILLIS).milliseconds

    private companion object {
        const val MIN_PERCENT = 50L
        const val MAX_PERCENT = 150L
        const val FULL_PERCENT = 100L
        const val MAX_DURATION_MILLIS = 12_000
        const val MAX_DETECTION_DELAY_MILLIS = 2_000
        val RESTART_DELAY = 2.seconds
    }
}
