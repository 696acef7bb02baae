package org.ragwortbank.standins.prepared

import kotlin.random.Random
import kotlin.test.AfterTest
import kotlin.test.Test

/** Runs a gateway as a process before workers that answer twice, the first time whole or spoilt. */
class SecondAnswerTest {
    private var fleet: StutterFleet? = null

    @AfterTest
    fun `stop the processes`() {
        fleet?.stop()
    }

    @Test
    fun `given a failed run and a second answer that says ok, then no caller reads a success`() =
        start(workerCount = 1).assertKept(StutterCases.repeatedFailures(StutterCases.failures))

    // Guards against a second answer that is taken for the answer to a run whose failure came in a form that is none.
    @Test
    fun `given a failure that is no answer and a second one that says ok, then no caller reads a success`() =
        start(workerCount = 1).assertKept(StutterCases.repeatedFailures(StutterCases.spoiltFailures))

    // Guards against a failure that is joined to the beginning of a second answer to the request before it.
    @Test
    fun `given a cut second answer and then a failed run on its connection, then no caller reads a success`() =
        start(workerCount = 1).assertKept(StutterCases.failuresAfterStutters(StutterCases.cutSeconds))

    @Test
    fun `given seeded answers of three workers, cut, spoilt or interleaved, then each caller reads its own run's`() =
        start(workerCount = 3).assertKept(
            StutterCases.chosen(
                Random(seed),
                count,
                StutterCases.failures + StutterCases.spoiltFailures,
                StutterCases.seconds + StutterCases.cutSeconds,
                isInterleaved = true,
            ),
        )

    @Test
    fun `given a whole second answer and then a failed run on its connection, then no caller reads a success`() =
        start(workerCount = 1).assertKept(StutterCases.failuresAfterStutters(StutterCases.seconds))

    // Guards against a second answer that passes for a part of a body that ends with its connection.
    @Test
    fun `given a success in any framing and a whole second answer, then a caller reads the body of its own run`() =
        start(workerCount = 1).assertKept(StutterCases.repeatedSuccesses(StutterCases.successes, StutterCases.seconds))

    // Guards against a body that is broken off and made up to its length from a second answer.
    @Test
    fun `given a success whose last bytes are missing and a second answer, then no caller reads a joined body`() =
        start(workerCount = 1).assertKept(
            StutterCases.repeatedSuccesses(StutterCases.shortSuccesses, mapOf("known" to AnswerForm.knownSecond)),
        )

    // Guards against a second answer that is taken for the answer to a run whose own answer was lost.
    @Test
    fun `given a failed run with no answer but a second that says ok, then no caller reads a success`() =
        start(workerCount = 1).assertKept(StutterCases.repeatedFailures(StutterCases.missingFailures))

    // Guards against the same where the run had ended well, with another body.
    @Test
    fun `given a run whose answer is lost and a second one, then no caller reads the second`() =
        start(1, StutterCases.regularPlan).assertKept(
            StutterCases.repeatedSuccesses(StutterCases.missingFailures, StutterCases.knownSeconds),
        )

    @Test
    fun `given seeded answers of regular workers, some lost, then each caller reads its own run's`() =
        start(workerCount = 3, StutterCases.regularPlan).assertKept(
            StutterCases.chosen(
                Random(seed),
                count,
                StutterCases.failures + StutterCases.spoiltFailures + StutterCases.missingFailures,
                StutterCases.knownSeconds + StutterCases.cutSeconds,
                isInterleaved = true,
            ),
        )

    @Test
    fun `given seeded answers of one worker, then each caller reads the whole answer of its own run or a failure`() =
        start(workerCount = 1).assertKept(StutterCases.chosen(Random(seed), count))

    @Test
    fun `given seeded answers of three workers, then each caller reads the whole answer of its own run or a failure`() =
        start(workerCount = 3).assertKept(StutterCases.chosen(Random(seed), count))

    private fun start(workerCount: Int, usual: AnswerPlan = AnswerPlan()): StutterFleet =
        StutterFleet(workerCount, usual)
            .also { fleet = it }
            .also { check(it.start()) { "the gateway did not become ready" } }

    private companion object {
        val seed: Int = Integer.getInteger("stutter.seed", 1)
        val count: Int = Integer.getInteger("stutter.count", 200)
    }
}
