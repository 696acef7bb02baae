package org.ragwortbank.standins.prepared

import org.junit.jupiter.api.Tag
import kotlin.random.Random
import kotlin.test.AfterTest
import kotlin.test.Test

/** Runs a gateway as a process before workers whose first answers are missing and second ones may look like them. */
@Tag("known-red")
class SecondAnswerOfFailureTest {
    private var fleet: StutterFleet? = null

    @AfterTest
    fun `stop the processes`() {
        fleet?.stop()
    }

    // Guards against a second answer in the form of a first one, for a run whose failure was never read.
    @Test
    fun `given a failed run with no answer but a second in the form of a first, then no caller reads a success`() =
        start(workerCount = 1).assertKept(
            StutterCases.repeatedFailures(StutterCases.missingFailures, StutterCases.successes.getValue("whole")),
        )

    @Test
    fun `given seeded answers of three workers, some missing, then each caller reads its own run's`() =
        start(workerCount = 3).assertKept(
            StutterCases.chosen(
                Random(seed),
                count,
                StutterCases.failures + StutterCases.spoiltFailures + StutterCases.missingFailures,
                StutterCases.seconds + StutterCases.cutSeconds,
                isInterleaved = true,
            ),
        )

    private fun start(workerCount: Int): StutterFleet =
        StutterFleet(workerCount).also { fleet = it }.also { check(it.start()) { "the gateway did not become ready" } }

    private companion object {
        val seed: Int = Integer.getInteger("stutter.seed", 1)
        val count: Int = Integer.getInteger("stutter.count", 200)
    }
}
