package org.ragwortbank.experiments

import org.ragwortbank.core.entry.EntrySettings
import org.ragwortbank.core.model.Account
import org.ragwortbank.core.model.AccountId
import org.ragwortbank.experiments.fleet.FleetRecord
import org.ragwortbank.experiments.fleet.FleetSettings
import org.ragwortbank.experiments.limits.LimitExperiment
import org.ragwortbank.experiments.limits.FaultMode
import org.ragwortbank.experiments.limits.LimitResult
import org.ragwortbank.experiments.limits.LimitScenario
import picocli.CommandLine.Command
import picocli.CommandLine.Option
import java.util.concurrent.Callable
import java.util.stream.IntStream
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Checks the limits under faults and compares refusals with other ways. */
@Command(
    name = "limits",
    mixinStandardHelpOptions = true,
    description = ["Checks the limits over a fleet of entries and counts refusals."],
)
class LimitsCommand : Callable<Int> {
    @Option(names = ["--mode"], defaultValue = "FAULTY", description = ["HEALTHY, CRASHING or FAULTY."])
    private var mode = FaultMode.FAULTY

    @Option(names = ["--first"], defaultValue = "1", description = ["First seed."])
    private var first = 1

    @Option(names = ["--runs"], defaultValue = "20", description = ["Number of seeds."])
    private var runs = 0

    @Option(names = ["--entries"], defaultValue = "4", description = ["Entries at the beginning."])
    private var entries = 0

    @Option(names = ["--seconds"], defaultValue = "40", description = ["Virtual length of a run."])
    private var seconds = 0

    @Option(names = ["--faults"], defaultValue = "6", description = ["Faults in a run of mode FAULTY."])
    private var faults = 0

    @Option(names = ["--rate"], defaultValue = "4000", description = ["Tokens per second."])
    private var rate = 0L

    @Option(names = ["--burst"], defaultValue = "8000", description = ["Burst in tokens."])
    private var burst = 0L

    @Option(names = ["--skew"], defaultValue = "1.0", description = ["1 is an even balancer."])
    private var skew = 1.0

    @Option(names = ["--offered"], defaultValue = "0.9", description = ["Share of the rate that is offered."])
    private var offered = 0.0

    @Option(names = ["--witness"], defaultValue = "2s", description = ["How long a home grants without being seen."])
    private lateinit var witness: String

    @Option(names = ["--trace"], description = ["Prints what happens in the run with the first seed."])
    private var trace = false

    override fun call(): Int {
        val account = Account(AccountId("member"), rate, burst)
        val scenario = LimitScenario(account, entries, offered, skew = skew, length = seconds.seconds)
        val entry = EntrySettings(membershipLease = Duration.parse(witness), drainGrace = 1.seconds)
        val experiment = LimitExperiment(scenario, FleetSettings(entry))
        if (trace) return printTrace(experiment)
        val seeds = IntStream.range(first, first + runs).parallel()
        val results = seeds.mapToObj { experiment.run(mode, it, faults) }.toList()
        report(results)
        return if (results.all { it.isBoundKept }) 0 else 1
    }

    private fun printTrace(experiment: LimitExperiment): Int {
        experiment.history(mode, first, faults).records
            .filterNot { it is FleetRecord.Offered }
            .forEach { println("${it.at.nanos / NANOS_PER_MILLI} $it") }
        return 0
    }

    private fun report(results: List<LimitResult>) {
        val requests = results.sumOf { it.offeredRequests }
        println("mode $mode, seeds $first to ${first + runs - 1}, $entries entries, $rate tokens/s, burst $burst")
        println("bound held in ${results.count { it.isBoundKept }} of ${results.size} runs")
        results.filterNot { it.isBoundKept }.forEach(::printBroken)
        println("requests offered          $requests")
        println("refused, bucket empty     ${share(results.sumOf { it.bucketEmptyRefusals }, requests)}")
        println("refused, other causes     ${share(results.sumOf { it.otherRefusals }, requests)}")
        println("refused by one bucket     ${share(results.sumOf { it.centralBucketRefusals }, requests)}")
        println("refused by equal parts    ${share(results.sumOf { it.staticShareRefusals }, requests)}")
    }

    private fun printBroken(result: LimitResult) =
        println("  seed ${result.seed} broke the bound by ${-result.lowestLevel} tokens")

    private fun share(count: Int, of: Int): String = "%d (%.2f %%)".format(count, PERCENT * count / of)

    private companion object {
        const val PERCENT = 100.0
        const val NANOS_PER_MILLI = 1_000_000
    }
}
