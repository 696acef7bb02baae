package org.ragwortbank.core.sidecar

import org.ragwortbank.core.model.Work

/** Cost of a run in tokens for fair queueing; a plain call counts as one. */
internal fun fairQueueCost(run: Run): Long =
    when (val work = run.command.work) {
        is Work.Generation -> work.promptTokens + work.maxTokens
        is Work.ServiceCall -> 1
    }
