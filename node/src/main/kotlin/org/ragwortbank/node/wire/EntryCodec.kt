package org.ragwortbank.node.wire

import kotlinx.collections.immutable.toPersistentList
import org.ragwortbank.core.message.EntryMessage
import org.ragwortbank.core.model.AccountId
import kotlin.time.Duration.Companion.milliseconds

internal fun EntryMessage.toWire(): WireMessage =
    when (this) {
        is EntryMessage.CreditAsk -> WireMessage.CreditAsk(ask, account.value, needs)
        is EntryMessage.CreditGrant ->
            WireMessage.CreditGrant(ask, account.value, granted, stamp.toWire(), retryAfter?.inWholeMilliseconds)
        is EntryMessage.NotHome -> WireMessage.NotHome(ask, account.value)
        is EntryMessage.CreditSettle -> WireMessage.CreditSettle(account.value, tokens, stamp.toWire())
        is EntryMessage.BucketAsk -> WireMessage.BucketAsk(epoch, account.value)
        is EntryMessage.BucketGiven -> WireMessage.BucketGiven(epoch, account.value, level, unspent)
        is EntryMessage.ConfigNotice -> WireMessage.ConfigNotice(version)
    }

/** The message between entries that this frame carries; null when it is another kind of frame. */
internal fun WireMessage.toEntryMessage(): EntryMessage? =
    when (this) {
        is WireMessage.CreditAsk -> EntryMessage.CreditAsk(ask, AccountId(account), needs.toPersistentList())
        is WireMessage.CreditGrant ->
            EntryMessage.CreditGrant(ask, AccountId(account), granted, stamp.toStamp(), retryAfterMs?.milliseconds)
        is WireMessage.NotHome -> EntryMessage.NotHome(ask, AccountId(account))
        is WireMessage.CreditSettle -> EntryMessage.CreditSettle(AccountId(account), tokens, stamp.toStamp())
        is WireMessage.BucketAsk -> EntryMessage.BucketAsk(epoch, AccountId(account))
        is WireMessage.BucketGiven -> EntryMessage.BucketGiven(epoch, AccountId(account), level, unspent)
        is WireMessage.ConfigNotice -> EntryMessage.ConfigNotice(version)
        else -> null
    }
