package org.ragwortbank.core.sidecar

import org.ragwortbank.core.model.Work

/** Cost of a run in tokens for fair queueing; a plain call counts as one. */
internal fun fairQueueCost(run: Run): Long =
    when (val work = run.command.work) {
        is Work.Generate -> work.promptTokens + work.maxTokens
        is Work.Plain -> 1
    }
