package org.ragwortbank.node.wire

import kotlinx.collections.immutable.toPersistentList
import org.ragwortbank.core.message.EntryMessage
import org.ragwortbank.core.model.AccountId
import kotlin.time.Duration.Companion.milliseconds

internal fun EntryMessage.toWire(): WireMessage =
    when (this) {
        is EntryMessage.CreditRequest -> WireMessage.CreditRequest(creditRequestId, account.value, tokensPerRequest)
        is EntryMessage.CreditGrant ->
            WireMessage.CreditGrant(
                creditRequestId,
                account.value,
                grantedTokens,
                grantOrigin.toWire(),
                retryAfter?.inWholeMilliseconds,
            )
        is EntryMessage.NotBucketOwner -> WireMessage.NotBucketOwner(creditRequestId, account.value)
        is EntryMessage.CreditReturn -> WireMessage.CreditReturn(account.value, unusedTokens, grantOrigin.toWire())
        is EntryMessage.BucketRequest -> WireMessage.BucketRequest(epoch, account.value)
        is EntryMessage.BucketHandover -> WireMessage.BucketHandover(epoch, account.value, level, unspentTokens)
        is EntryMessage.ConfigVersionNotice -> WireMessage.ConfigVersionNotice(version)
    }

/** Returns the message between entries in this frame; null if it is of another kind or has an amount below zero. */
internal fun WireMessage.toEntryMessage(): EntryMessage? = if (hasValidAmounts()) decodeEntryMessage() else null

/** A return of credit may be below zero, for what was overdrawn, and so may the level of a bucket. */
private fun WireMessage.hasValidAmounts(): Boolean =
    when (this) {
        is WireMessage.CreditRequest -> needs.all { it >= 0 }
        is WireMessage.CreditGrant -> granted >= 0
        is WireMessage.BucketHandover -> unspent >= 0
        else -> true
    }

private fun WireMessage.decodeEntryMessage(): EntryMessage? =
    when (this) {
        is WireMessage.CreditRequest -> EntryMessage.CreditRequest(ask, AccountId(account), needs.toPersistentList())
        is WireMessage.CreditGrant ->
            EntryMessage.CreditGrant(
                ask,
                AccountId(account),
                granted,
                stamp.toGrantOrigin(),
                retryAfterMs?.milliseconds,
            )
        is WireMessage.NotBucketOwner -> EntryMessage.NotBucketOwner(ask, AccountId(account))
        is WireMessage.CreditReturn -> EntryMessage.CreditReturn(AccountId(account), tokens, stamp.toGrantOrigin())
        is WireMessage.BucketRequest -> EntryMessage.BucketRequest(epoch, AccountId(account))
        is WireMessage.BucketHandover -> EntryMessage.BucketHandover(epoch, AccountId(account), level, unspent)
        is WireMessage.ConfigVersionNotice -> EntryMessage.ConfigVersionNotice(version)
        else -> null
    }
