package org.ragwortbank.experiments

import org.ragwortbank.core.entry.EntrySettings
import org.ragwortbank.core.model.Account
import org.ragwortbank.core.model.AccountId
import org.ragwortbank.experiments.fleet.FleetRecord
import org.ragwortbank.experiments.fleet.FleetSettings
import org.ragwortbank.experiments.limits.FaultMode
import org.ragwortbank.experiments.limits.LimitExperiment
import org.ragwortbank.experiments.limits.LimitResult
import org.ragwortbank.experiments.limits.LimitScenario
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import java.util.concurrent.Callable
import java.util.stream.IntStream
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Checks rate limits under faults and compares the number of refusals with simpler limiters. */
@Command(
    name = "limits",
    mixinStandardHelpOptions = true,
    description = ["Checks the limits over a fleet of entries and counts refusals."],
)
class LimitsCommand : Callable<Int> {
    @Option(
        names = ["--mode"],
        paramLabel = "<mode>",
        defaultValue = "FAULTY",
        description = ["HEALTHY, CRASHING, LOSING_HOSTS or FAULTY."],
    )
    private var faultMode = FaultMode.FAULTY

    @Option(names = ["--first"], paramLabel = "<first>", defaultValue = "1", description = ["First seed."])
    private var firstSeed = 1

    @Option(names = ["--runs"], paramLabel = "<runs>", defaultValue = "20", description = ["Number of seeds."])
    private var runCount = 0

    @Option(
        names = ["--entries"],
        paramLabel = "<entries>",
        defaultValue = "4",
        description = ["Entries at the beginning."],
    )
    private var entryCount = 0

    @Option(
        names = ["--seconds"],
        paramLabel = "<seconds>",
        defaultValue = "40",
        description = ["Virtual length of a run."],
    )
    private var lengthSeconds = 0

    @Option(
        names = ["--faults"],
        paramLabel = "<faults>",
        defaultValue = "6",
        description = ["Faults in a run of mode FAULTY."],
    )
    private var faultCount = 0

    @Option(names = ["--rate"], paramLabel = "<rate>", defaultValue = "4000", description = ["Tokens per second."])
    private var tokensPerSecond = 0L

    @Option(names = ["--burst"], paramLabel = "<burst>", defaultValue = "8000", description = ["Burst in tokens."])
    private var burstTokens = 0L

    @Option(names = ["--skew"], defaultValue = "1.0", description = ["1 spreads requests evenly over entries."])
    private var skew = 1.0

    @Option(
        names = ["--offered"],
        paramLabel = "<offered>",
        defaultValue = "0.9",
        description = ["Share of the rate that is offered."],
    )
    private var offeredShare = 0.0

    @Option(
        names = ["--witness"],
        paramLabel = "<witness>",
        defaultValue = "2s",
        description = ["How long a bucket owner grants credit without a membership confirmation."],
    )
    private lateinit var membershipLease: String

    @Option(names = ["--trace"], description = ["Prints the records of the run with the first seed."])
    private var isTraceRequested = false

    override fun call(): Int {
        val account = Account(AccountId("member"), tokensPerSecond, burstTokens)
        val scenario = LimitScenario(account, entryCount, offeredShare, skew = skew, length = lengthSeconds.seconds)
        val entrySettings = EntrySettings(membershipLease = Duration.parse(membershipLease), drainGrace = 1.seconds)
        val experiment = LimitExperiment(scenario, FleetSettings(entrySettings))
        if (isTraceRequested) return printTrace(experiment)
        val seeds = IntStream.range(firstSeed, firstSeed + runCount).parallel()
        val results = seeds.mapToObj { experiment.run(faultMode, it, faultCount) }.toList()
        printSummary(results)
        return if (results.all { it.isBoundKept }) 0 else 1
    }

    private fun printTrace(experiment: LimitExperiment): Int {
        experiment.history(faultMode, firstSeed, faultCount).records
            .filterNot { it is FleetRecord.Offered }
            .forEach { println("${it.at.nanos / NANOS_PER_MILLI} $it") }
        return 0
    }

    private fun printSummary(results: List<LimitResult>) {
        val requests = results.sumOf { it.offeredRequests }
        println(
            "mode $faultMode, seeds $firstSeed to ${firstSeed + runCount - 1}, $entryCount entries, " +
                "$tokensPerSecond tokens/s, burst $burstTokens",
        )
        println("bound held in ${results.count { it.isBoundKept }} of ${results.size} runs")
        results.filterNot { it.isBoundKept }.forEach(::printViolation)
        println("requests offered          $requests")
        println("refused, bucket empty     ${countAndPercent(results.sumOf { it.bucketEmptyRefusals }, requests)}")
        println("refused, other causes     ${countAndPercent(results.sumOf { it.otherRefusals }, requests)}")
        println("refused by one bucket     ${countAndPercent(results.sumOf { it.centralBucketRefusals }, requests)}")
        println("refused by equal parts    ${countAndPercent(results.sumOf { it.staticShareRefusals }, requests)}")
    }

    private fun printViolation(result: LimitResult) =
        println("  seed ${result.seed} broke the bound by ${-result.lowestLevel} tokens")

    private fun countAndPercent(count: Int, total: Int): String = "%d (%.2f %%)".format(count, PERCENT * count / total)

    private companion object {
        const val PERCENT = 100.0
        const val NANOS_PER_MILLI = 1_000_000
    }
}
