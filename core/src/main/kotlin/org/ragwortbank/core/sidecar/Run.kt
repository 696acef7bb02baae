package org.ragwortbank.core.sidecar

import org.ragwortbank.core.message.SidecarCommand
import org.ragwortbank.core.tick.Timestamp

/**
 * A row of a sidecar's runs table.
 *
 * @property link the entry that sent it; null when that entry is gone and nobody takes the answer
 * @property chunksSent pieces of the answer passed on so far
 */
data class Run(
    val command: SidecarCommand.Dispatch,
    val link: LinkId?,
    val receivedAt: Timestamp,
    val isRunning: Boolean = false,
    val chunksSent: Long = 0,
)
