package org.ragwortbank.standins.prepared

import org.ragwortbank.standins.prepared.AnswerForm.Complete
import org.ragwortbank.standins.prepared.AnswerForm.Cut
import org.ragwortbank.standins.prepared.AnswerForm.Framing
import org.ragwortbank.standins.prepared.AnswerForm.Preceded
import org.ragwortbank.standins.prepared.AnswerForm.Raw
import org.ragwortbank.standins.prepared.AnswerForm.Short
import org.ragwortbank.standins.prepared.SecondAnswerTime.After
import org.ragwortbank.standins.prepared.SecondAnswerTime.AfterNextAnswer
import org.ragwortbank.standins.prepared.SecondAnswerTime.BeforeNextAnswer
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Two requests, the second sent [gapMillis] after the answer to the first, and how each is answered.
 *
 * @property isRepeatable whether the requests may run more than once
 */
data class StutterCase(
    val name: String,
    val first: AnswerPlan,
    val next: AnswerPlan,
    val gapMillis: Long,
    val isRepeatable: Boolean = true,
)

/** The product of what may be written, for [StutterCase]. */
object StutterCases {
    private const val BODY = """{"value":"of the first answer"}"""
    private const val OTHER_ID = "another-request"
    private const val STATUS_LINE = 15
    private val failure = Complete(500)
    private val success = Complete(200, BODY)

    /** Forms in which a run that ended with 500 answers. */
    val failures: Map<String, AnswerForm> = mapOf(
        "whole" to failure,
        "whole, no id" to failure.copy(namedRequest = ""),
        "whole, unsigned" to failure.copy(isSigned = false),
        "chunks" to failure.copy(body = BODY, framing = Framing.CHUNKS),
        "gzip" to failure.copy(body = BODY, fields = "Content-Encoding: gzip\r\n"),
        "ends with connection" to failure.copy(framing = Framing.END_OF_CONNECTION),
        "with a body" to failure.copy(body = BODY),
        "body cut" to Cut(failure.copy(body = BODY), 130),
        "after 100" to Preceded("HTTP/1.1 100 Continue\r\n\r\n", failure),
        "after 103 with id" to Preceded("HTTP/1.1 103 Early Hints\r\nX-Request-Id: x\r\n\r\n", failure),
        "NUL bytes" to Raw("\u0000\u0000\u0000\u0000"),
        "control bytes" to Raw("\u0001\u0002\u007f\u0005"),
        "letters" to Raw("abcdefgh"),
        "letters and line end" to Raw("abcdefgh\r\n"),
        "high bytes" to Raw("\u00e9\u00ff\u0080"),
        "control bytes before it" to Preceded("\u0000\u0001\r\n", failure),
        "letters before it" to Preceded("xx", failure),
    ) + listOf(1, 4, 5, 7, 8, 9, 12, 13, STATUS_LINE, 34, 36, 50, 80).associate { "cut at $it" to Cut(failure, it) }

    /** Forms that are no answer to the request, in place of the answer of a run that ended with 500. */
    val spoiltFailures: Map<String, AnswerForm> = mapOf(
        "whole, another id" to failure.copy(namedRequest = OTHER_ID),
        "only 199" to Raw("HTTP/1.1 199 Other\r\nContent-Length: 0\r\n\r\n"),
        "blank lines" to Raw("\r\n\r\n"),
        "spaces" to Raw("   "),
    )

    /** Forms in which a run that ended with 500 doesn't answer, so that the second answer is the only one. */
    val missingFailures: Map<String, AnswerForm> = mapOf(
        "only 100" to Raw("HTTP/1.1 100 Continue\r\n\r\n"),
        "nothing" to Raw(""),
    )

    /** Forms in which a run that ended with 200 answers whole. */
    val successes: Map<String, AnswerForm> = mapOf(
        "whole" to success,
        "chunks" to success.copy(framing = Framing.CHUNKS),
        "ends with connection" to success.copy(framing = Framing.END_OF_CONNECTION),
        "regular" to success.copy(fields = AnswerForm.REGULAR_FIELDS),
        "regular, chunks" to success.copy(fields = AnswerForm.REGULAR_FIELDS, framing = Framing.CHUNKS),
        "regular, ends with connection" to
            success.copy(fields = AnswerForm.REGULAR_LAST_FIELDS, framing = Framing.END_OF_CONNECTION),
        "regular, with a length, last" to
            success.copy(fields = "Connection: close\r\n" + AnswerForm.REGULAR_LAST_FIELDS),
    )

    /** Answers of a run that ended with 200 of which the last bytes never come, although the connection goes on. */
    val shortSuccesses: Map<String, AnswerForm> = listOf(success, success.copy(framing = Framing.CHUNKS))
        .flatMap { form -> (1..MOST_MISSING).map { "${form.framing} short of $it" to Short(form, it) } }
        .toMap()

    /** Forms of whole second answers. */
    val seconds: Map<String, AnswerForm> = mapOf(
        "known" to AnswerForm.knownSecond,
        "known, another id" to AnswerForm.knownSecond.copy(namedRequest = OTHER_ID),
        "known, no id" to AnswerForm.knownSecond.copy(namedRequest = ""),
        "known, chunks" to AnswerForm.knownSecond.copy(framing = Framing.CHUNKS),
        "known, no framing" to AnswerForm.knownSecond.copy(framing = Framing.END_OF_CONNECTION),
        "404" to Complete(404, "no"),
        "500" to failure,
        "200 with body" to success,
    )

    /** Those of [seconds] in the form that second answers are known to have, whatever their framing and id. */
    val knownSeconds: Map<String, AnswerForm> = seconds.filterKeys { it.startsWith("known") }

    /** How workers that tell their load answer. */
    val regularPlan = AnswerPlan(first = Complete(200, fields = AnswerForm.REGULAR_FIELDS))

    /** Second answers of which the rest never comes. */
    val cutSeconds: Map<String, AnswerForm> = listOf(1, 4, 8, 9, 12, STATUS_LINE, 16, 17, 30, 60, 95, 100).associate {
        "known, cut at $it" to Cut(AnswerForm.knownSecond, it)
    } + mapOf("200, body cut" to Cut(success, 130))

    /** When second answers come, with the time between the two requests. */
    val times: Map<String, Pair<SecondAnswerTime, Long>> = mapOf(
        "same write" to (After(Duration.ZERO) to 0L),
        "5 ms later" to (After(5.milliseconds) to 0L),
        "20 ms later, idle" to (After(20.milliseconds) to 40L),
        "20 ms later, in use" to (After(20.milliseconds) to 0L),
        "before the next answer" to (BeforeNextAnswer to 0L),
        "after the next answer" to (AfterNextAnswer to 0L),
    )

    /** A failed run with the [second] answer, for each of the [forms] of its first answer and each time. */
    fun repeatedFailures(
        forms: Map<String, AnswerForm>,
        second: AnswerForm = AnswerForm.knownSecond,
    ): List<StutterCase> = forms.flatMap { (formName, form) ->
        times.filterValues { it.first is After }.map { (timeName, time) ->
            val plan = AnswerPlan(500, "", form, second, time.first)
            StutterCase("500 [$formName], second answer, $timeName", plan, AnswerPlan(), time.second)
        }
    }

    /** A run that ended with 200 and answers in each of the [firsts], then with each of the [others], at each time. */
    fun repeatedSuccesses(firsts: Map<String, AnswerForm>, others: Map<String, AnswerForm>): List<StutterCase> =
        firsts.flatMap { (firstName, first) ->
            others.flatMap { (otherName, other) ->
                times.map { (timeName, time) ->
                    val plan = AnswerPlan(200, BODY, first, other, time.first)
                    StutterCase("200 [$firstName], second [$otherName], $timeName", plan, AnswerPlan(), time.second)
                }
            }
        }

    /** A success with each of the [forms] as second answer at each time, before a request that fails. */
    fun failuresAfterStutters(forms: Map<String, AnswerForm>): List<StutterCase> = forms.flatMap { (formName, form) ->
        times.flatMap { (timeName, time) ->
            val plan = AnswerPlan(200, BODY, success, form, time.first)
            failedPlans.map { (nextName, next) ->
                StutterCase("200, second [$formName], $timeName, then $nextName", plan, next, time.second)
            }
        }
    }

    /**
     * [count] cases chosen by [random], with first answers out of [firsts] and second ones out of [others]; with other
     * answers written inside second answers if [isInterleaved].
     */
    fun chosen(
        random: Random,
        count: Int,
        firsts: Map<String, AnswerForm> = failures,
        others: Map<String, AnswerForm> = seconds,
        isInterleaved: Boolean = false,
    ): List<StutterCase> = List(count) {
        val first = firsts.entries.random(random)
        val second = others.entries.random(random)
        val time = times.entries.random(random)
        val next = nextPlans.entries.random(random)
        val maySplit = random.nextBoolean() && (isInterleaved || time.value.first != AfterNextAnswer)
        val early = if (maySplit) random.nextInt(SPLIT_RANGE) else 0
        val isRepeatable = random.nextInt(NON_REPEATABLE_SHARE) > 0
        val whole = AnswerPlan(200, BODY, success).takeIf { random.nextBoolean() }
        val plan = (whole ?: AnswerPlan(500, "", first.value))
            .copy(second = second.value, secondTime = time.value.first, earlyBytes = early)
        val firstName = if (whole == null) "500 [${first.key}]" else "200"
        val kind = if (isRepeatable) "" else ", run once"
        val name = "$firstName, second [${second.key}], ${time.key}, $early bytes at once, then ${next.key}$kind"
        StutterCase(name, plan, next.value, time.value.second, isRepeatable)
    }

    private const val SPLIT_RANGE = 100
    private const val MOST_MISSING = 31
    private const val NON_REPEATABLE_SHARE = 4
    private val failedPlans = mapOf(
        "500" to AnswerPlan(500),
        "500 and a known second" to AnswerPlan(500, second = AnswerForm.knownSecond),
    )
    private val nextPlans = failedPlans + mapOf(
        "200" to AnswerPlan(200, BODY, success),
        "421" to AnswerPlan(421),
        "503, not run" to AnswerPlan(503, first = Complete(503, fields = "X-Not-Executed: 1\r\n")),
    )
}
