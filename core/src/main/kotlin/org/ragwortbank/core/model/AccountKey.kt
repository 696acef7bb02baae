package org.ragwortbank.core.model

/** A row of the keys table: the account for which a key speaks. */
data class AccountKey(
    val hash: KeyHash,
    val account: AccountId,
)
