package org.ragwortbank.standins.prepared

import kotlinx.collections.immutable.PersistentMap
import org.ragwortbank.clients.http.HttpReply

/** Checks what callers read against the runs of workers. */
object StutterCheck {
    /** The promises that [reply], read by the caller of [requestId], breaks, given the [runs] by their signatures. */
    fun violations(requestId: String, reply: HttpReply, runs: PersistentMap<String, WorkerRun>): List<String> {
        if (reply !is HttpReply.Answered) return emptyList()
        val namedRequest = reply.head.header("X-Request-Id")
        val signature = reply.head.header("X-Server-Signature")
        val run = runs[signature]
        return listOfNotNull(
            "names $namedRequest".takeIf { namedRequest != null && namedRequest != requestId },
            "a success without a signature".takeIf { reply.isSuccess && signature == null },
            "signature of no run: $signature".takeIf { signature != null && run == null },
            "signature of a run of ${run?.requestId}".takeIf { run != null && run.requestId != requestId },
            "status ${reply.status} of a run that ended with ${run?.plan?.status}"
                .takeIf { run != null && run.plan.status != reply.status },
            "body '${reply.text}' of a run that ended with '${run?.plan?.body}'"
                .takeIf { run != null && reply.isSuccess && run.plan.body != reply.text },
            "a success where the server answered with a failure"
                .takeIf { reply.isSuccess && runs.values.none { it.requestId == requestId && it.plan.isSuccess } },
        )
    }

    private val AnswerPlan.isSuccess: Boolean get() = status in 200..299
}
